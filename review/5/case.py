"""A part of prompts crashes engines while they write the answer's beginning.

Prompts with the part come at any gateway, no two alike. Each engine that
begins to write an answer to one sends the head, the first event and a piece of
the second one, and crashes. The rule BUDGET allows three requests with the part
at engines, sent later than ContactMs after the fifth crash.

EVENTS_BEFORE=0 has the engines crash before the first event instead.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    BOUNDS,
    ZONES,
    CannotRun,
    Engine,
    Site,
    encode_answer,
    has_trouble,
    main,
)

GATEWAYS = 6
ENGINES = 12
CONTACT_S = BOUNDS["ContactMs"] / 1000
ALLOWED = 3
# No request counts that was sent this soon after the bound.
MARGIN_S = 0.5
CALM_S, LATER_S = 4.0, 40.0
CRASHING_GAP_S, SOUND_GAP_S = 1.0, 0.5
# An entry lapses after three heartbeats of 1.2 s.
LAPSE_S, DOWN_S = 3.6, 4.0
EVENTS, EVENT_S = 4, 0.05
EVENTS_BEFORE = int(os.environ.get("EVENTS_BEFORE", "1"))
FIRST, CRASHING = "5c1e07a2", "0badc0de"


class ModelEngine(Engine):
    """Stream events; crash on the part, and be back after some seconds."""

    crashes = []
    reached_by = []
    restarts = 0

    async def run(self, writer, target, request_id, headers):
        has_part = CRASHING in headers["x-teaselpond-prefix-hash"]
        if has_part:
            self.reached_by.append(request_id)
        crashes = has_part and has_trouble()
        head = self.headers(request_id) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await asyncio.sleep(self.work_s)
        writer.write(encode_answer(200, head).replace(b"Content-Length: 0\r\n", b""))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            if crashes and number > EVENTS_BEFORE:
                # The engine stops in the middle of an event.
                writer.write(chunk[:10])
                await writer.drain()
                self.crash(request_id)
                return
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        self.runs.append(request_id)
        self.record.write("engine", self.engine_id, "ran", request_id)

    def crash(self, request_id):
        """End the process: nothing is sent any more, no heartbeat either."""
        self.crashes.append(self.record.now())
        self.record.write("engine", self.engine_id, "crashes by", request_id)
        self._server.close()
        self._beat.cancel()
        self.is_listed = False
        for writer in list(self.writers):
            writer.close()
        self.restart = asyncio.create_task(self._come_back())

    async def _come_back(self):
        await asyncio.sleep(LAPSE_S)
        await self.store.remove("servers", self.engine_id)
        await asyncio.sleep(DOWN_S - LAPSE_S)
        ModelEngine.restarts += 1
        self.engine_id = f"{self.engine_id.split('.')[0]}.{self.restarts}"
        self.born = int(time.time() * 1000)
        self.port = 0
        await self.start()
        await self.list_itself()
        self.record.write("engine", self.engine_id, "is back")


async def case():
    random.seed(11)
    async with Site(FOLDER, gateways=GATEWAYS, era=1) as site:
        await site.write_config()
        for number in range(ENGINES):
            await site.add_engine(
                f"model-{number}", "model", ZONES[number % 3], ModelEngine
            )
        await site.add_engine("desk-0", "desk", ZONES[0])
        await site.start_gateways()
        await asyncio.sleep(1)
        sent_at, tasks, served = {}, [], []

        async def ask(part, number):
            own = random.getrandbits(32)
            headers = {
                "X-Teaselpond-Model": "m",
                "X-Teaselpond-Token-Count": "1050,80",
                "X-Teaselpond-Prefix-Hash": f"{FIRST}:500,{part}:300,{own:08x}:250",
            }
            now = site.record.now()
            request_id, status, _ = await site.call(
                random.choice(site.gateways),
                f"/chats/{part}-{number}",
                body=b"%08x" % own * 20,
                deadline_ms=12000,
                headers=headers,
            )
            if part == CRASHING:
                sent_at[request_id] = now
            elif status == 200:
                served.append(request_id)

        async def send(part, gap_s):
            """Send prompts with a part; None stands for one of thirty."""
            for number in range(10**6):
                each = part or f"{random.randrange(1, 31):08x}"
                tasks.append(asyncio.create_task(ask(each, number)))
                await asyncio.sleep(gap_s)

        senders = [asyncio.create_task(send(None, SOUND_GAP_S))]
        await asyncio.sleep(CALM_S)
        if not served:
            raise CannotRun("no sound prompt was served")
        senders.append(asyncio.create_task(send(CRASHING, CRASHING_GAP_S)))
        until = time.monotonic() + LATER_S
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*tasks)
        crashes = ModelEngine.crashes
        late = []
        if len(crashes) >= 5:
            bound = crashes[4] + CONTACT_S + MARGIN_S
            late = [
                request_id
                for request_id in ModelEngine.reached_by
                if sent_at[request_id] > bound
            ]
        site.record.write(
            f"requests with the part: {len(sent_at)}, at engines:"
            f" {len(ModelEngine.reached_by)}, crashes: {len(crashes)}; at engines,"
            f" sent later than ContactMs after the fifth crash: {len(late)},"
            f" {ALLOWED} are allowed; sound prompts served: {len(served)}"
        )
        print((FOLDER / "record.txt").read_text().splitlines()[-1])
        return len(late) > ALLOWED


main(case)
