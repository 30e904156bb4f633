"""Send long chats whose first part crashes the engines that answer on it."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from kit import CannotRun, Engine, Fleet, Server, new_id, read_body, request, run  # noqa: E402

CONTACT_SECONDS = 3.0
# A chat: the system prompt, its turns so far, and the new turn.
SHARED_PARTS = 36
CHATS = 60
CRASHING_PART = "bad0bad0"
SOUND_PART = "50500d50"
SECONDS = 36.0
FIRST_CRASHING_AT = 5.0
CRASHING_PER_SECOND = 2.0
SOUND_PER_SECOND = 8.0
EVENTS = 7
RESTART_SECONDS = 2.0
MAX_LATE = 3


class ModelEngine(Engine):
    """Answer streams, and crash on the first event for a prompt with the part."""

    crashes_on_part = True
    crashes = []
    arrivals = []

    async def handle(self, first, headers, reader, writer):
        await read_body(reader, headers)
        attempt = headers["x-teaselpond-attempt-id"]
        parts = headers["x-teaselpond-prefix-hash"].split(",")
        has_part = any(part.startswith(CRASHING_PART + ":") for part in parts[:-1])
        if has_part:
            self.arrivals.append(time.monotonic())
        self.runs.append(attempt)
        self.record(f"run {attempt} at {self.engine_id}, crashing part: {has_part}")
        await asyncio.sleep(0.05)
        head = self.seal(headers) | {
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"
        }
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head.items()), "", ""]
        writer.write("\r\n".join(lines).encode())
        await writer.drain()
        if has_part and self.crashes_on_part:
            asyncio.get_running_loop().create_task(self.crash())
            await asyncio.sleep(1.0)
            return False
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")

    async def crash(self):
        """Reset all connections; start again some seconds later."""
        if self.beats is None:
            return
        self.crashes.append(time.monotonic())
        self.record(f"crash {len(self.crashes)}: {self.engine_id}")
        self.silence()
        self.beats = None
        await self.stop()
        await asyncio.sleep(RESTART_SECONDS)
        self.born = int(time.time() * 1000)
        await Server.start(self, self.port)
        await self.register()


def prompt(first, chat):
    """Return the parts of a chat's prompt; the last is the request's own."""
    turns = [f"{chat:04x}{turn:04x}:40" for turn in range(SHARED_PARTS - 1)]
    return ",".join([f"{first}:800", *turns, f"{random.getrandbits(32):08x}:30"])


async def main(record, trouble):
    ModelEngine.crashes_on_part = trouble
    async with Fleet(record, count=3) as fleet:
        for number in range(6):
            await fleet.add_engine(ModelEngine, f"i-{number}", "assist")
        await fleet.start_gateways()
        await asyncio.sleep(CONTACT_SECONDS)
        answers = []

        async def send(kind, part):
            gateway = random.choice(fleet.gateways)
            attempt = new_id()
            sent_at = time.monotonic()
            headers = {
                "X-Teaselpond-Attempt-Id": attempt, "X-Teaselpond-Deadline-Ms": "10000",
                "X-Teaselpond-Model": "m",
                "X-Teaselpond-Token-Count": f"{830 + 40 * (SHARED_PARTS - 1)},49",
                "X-Teaselpond-Prefix-Hash": prompt(part, random.randrange(CHATS)),
            }
            record(f"sent {kind} {attempt} to {gateway.name}")
            try:
                status, _, body = await request(
                    gateway.ip, fleet.ports["frontend"], "POST", "/care/2f", headers,
                    attempt.encode(),
                )
                whole = status == 200 and body.count(b"data: ") == EVENTS
                outcome = "whole" if whole else str(status)
            except (OSError, EOFError, ValueError, TimeoutError):
                outcome = "cut"
            answers.append((kind, sent_at, outcome))
            record(f"answered {kind} {attempt}: {outcome}")

        started, tasks, sound, crashing = time.monotonic(), [], 0, 0
        while (elapsed := time.monotonic() - started) < SECONDS:
            if sound < elapsed * SOUND_PER_SECOND:
                sound += 1
                tasks.append(asyncio.create_task(send("sound", SOUND_PART)))
            if crashing < (elapsed - FIRST_CRASHING_AT) * CRASHING_PER_SECOND:
                crashing += 1
                tasks.append(asyncio.create_task(send("crashing", CRASHING_PART)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        crashes = ModelEngine.crashes
        late = []
        if len(crashes) >= 5:
            late = [at for at in ModelEngine.arrivals if at > crashes[4] + CONTACT_SECONDS]
        for name, since, until in (
            ("before the first crash", 0.0, crashes[0] if crashes else 1e18),
            ("from 6 s after the fifth crash", crashes[4] + 6.0 if len(crashes) >= 5 else 1e18, 1e18),
        ):
            chosen = [o for kind, at, o in answers if kind == "sound" and since <= at < until]
            record(f"sound requests {name}: {chosen.count('whole')} of {len(chosen)} whole")
        record(f"crashes: {len(crashes)}; requests with the part that reached engines more"
               f" than {CONTACT_SECONDS} s after the fifth: {len(late)} (at most {MAX_LATE})")
        if trouble and len(crashes) < 3:
            raise CannotRun
        return 1 if len(late) > MAX_LATE else 0


run(main, FOLDER)
