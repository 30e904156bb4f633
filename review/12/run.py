"""Crash an engine whose streams have event ids of more than twelve digits."""

import asyncio
import random
import sys
import time
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from kit import CannotRun, Engine, Fleet, new_id, read_body, request, run  # noqa: E402

ENGINES = 6
EVENTS = 42
EVENT_SECONDS = 0.05
REQUESTS_PER_SECOND = 12.0
SECONDS = 14.0
CRASH_AT = 6.0
# An event's id holds a number of the request, the same at each engine, in its
# upper bits and the number of the event in the others.
EVENT_BITS = 20


def first_id(body):
    return (zlib.crc32(body) | 0x80000000) << EVENT_BITS


class ModelEngine(Engine):
    """Answer with streams that may be resumed at any engine."""

    cut = set()

    async def handle(self, first, headers, reader, writer):
        body = await read_body(reader, headers)
        attempt = headers["x-teaselpond-attempt-id"]
        base = first_id(body)
        after = headers.get("last-event-id")
        start = int(after) - base if after else 0
        self.runs.append(attempt)
        self.record(f"run {attempt} at {self.engine_id} after event {after}")
        head = self.seal(headers) | {
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"
        }
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head.items()), "", ""]
        writer.write("\r\n".join(lines).encode())
        try:
            for number in range(start + 1, EVENTS + 1):
                event = f"id: {base + number}\ndata: piece {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS)
        except asyncio.CancelledError:
            self.cut.add(attempt)
            self.record(f"crash cuts {attempt} at {self.engine_id}")
            raise
        writer.write(b"0\r\n\r\n")


def judge(body):
    """Return what is wrong with a complete stream, empty if nothing is."""
    pieces = [int(line.split()[-1]) for line in body.decode().splitlines() if "piece" in line]
    twice = sorted({piece for piece in pieces if pieces.count(piece) > 1})
    missing = sorted(set(range(1, EVENTS + 1)) - set(pieces))
    if twice:
        return f"pieces {twice[0]} to {twice[-1]} came twice"
    return f"pieces {missing} are missing" if missing else ""


async def main(record, trouble):
    async with Fleet(record, count=3) as fleet:
        for number in range(ENGINES):
            await fleet.add_engine(ModelEngine, f"i-{number}", "assist")
        await fleet.start_gateways()
        wrong, outcomes = [], {}

        async def send():
            gateway = random.choice(fleet.gateways)
            attempt = new_id()
            headers = {"X-Teaselpond-Attempt-Id": attempt, "X-Teaselpond-Deadline-Ms": "10000"}
            record(f"sent {attempt} to {gateway.name}")
            try:
                status, _, body = await request(
                    gateway.ip, fleet.ports["frontend"], "POST", "/care/2f", headers,
                    attempt.encode(),
                )
            except (OSError, EOFError, ValueError, TimeoutError):
                record(f"answered {attempt}: cut")
                outcomes["cut"] = outcomes.get("cut", 0) + 1
                return
            outcomes[status] = outcomes.get(status, 0) + 1
            fault = judge(body) if status == 200 else ""
            record(f"answered {attempt}: {status}, {fault or 'in order'}")
            if fault:
                wrong.append(attempt)

        async def crash():
            await asyncio.sleep(CRASH_AT)
            engine = fleet.engines[0]
            record(f"crash: {engine.engine_id}")
            engine.silence()
            await engine.stop()

        started, tasks, sent = time.monotonic(), [], 0
        if trouble:
            tasks.append(asyncio.create_task(crash()))
        while (elapsed := time.monotonic() - started) < SECONDS:
            if sent < elapsed * REQUESTS_PER_SECOND:
                sent += 1
                tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        record(f"answers: {outcomes}; cut by the crash: {len(ModelEngine.cut)};"
               f" complete streams out of order: {len(wrong)}")
        if trouble and not ModelEngine.cut:
            raise CannotRun
        return 1 if wrong else 0


run(main, FOLDER)
