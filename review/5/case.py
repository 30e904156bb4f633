"""All gateways are killed at once while a request that crashes engines is suspected.

The request comes again with the same path, caller and body, and another query.
It crashes each engine that begins to run it. After the third crash all gateways
are killed, and started again. When they are in touch, the request comes again.
The rule BUDGET allows three retries at engines, sent later than ContactMs after
the third crash by machines in touch.

KILL=0 leaves the gateways alone.
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
    has_trouble,
    main,
)

GATEWAYS = 6
DESK_ENGINES = 6
CONTACT_S = BOUNDS["ContactMs"] / 1000
ALLOWED = 3
# No request counts that was sent this soon after a bound.
MARGIN_S = 0.5
GAP_S = 1.5
LATER_REQUESTS = 12
KILL_AFTER_S = float(os.environ.get("KILL_AFTER_S", "0.75"))
DOWN_GATEWAYS_S = 0.5
KILLS = os.environ.get("KILL", "1") != "0"
# An entry lapses after three heartbeats of 1.2 s.
LAPSE_S, DOWN_S = 3.6, 4.0
PATH, BODY = "/orders/crash", b"the same body"


class DeskEngine(Engine):
    """Run orders; crash on one of them, and be back after some seconds."""

    crashes = []
    reached = []
    restarts = 0

    async def run(self, writer, target, request_id, headers):
        if target.startswith(PATH):
            self.reached.append(request_id)
            if has_trouble():
                await asyncio.sleep(self.work_s)
                self.crash(request_id)
                return
        await super().run(writer, target, request_id, headers)

    def crash(self, request_id):
        """End the process: nothing is sent any more, no heartbeat either."""
        self.crashes.append(self.record.now())
        self.record.write("engine", self.engine_id, "crashes by", request_id)
        self._server.close()
        self._beat.cancel()
        self.is_listed = False
        self.drop_all()
        self.restart = asyncio.create_task(self._come_back())

    async def _come_back(self):
        await asyncio.sleep(LAPSE_S)
        await self.store.remove("servers", self.engine_id)
        await asyncio.sleep(DOWN_S - LAPSE_S)
        DeskEngine.restarts += 1
        self.engine_id = f"{self.engine_id.split('.')[0]}.{self.restarts}"
        self.born = int(time.time() * 1000)
        self.port = 0
        await self.start()
        await self.list_itself()
        self.record.write("engine", self.engine_id, "is back")


async def case():
    random.seed(13)
    async with Site(FOLDER, gateways=GATEWAYS, era=1) as site:
        await site.write_config()
        for number in range(DESK_ENGINES):
            await site.add_engine(
                f"desk-{number}", "desk", ZONES[number % 3], DeskEngine
            )
        await site.add_engine("model-0", "model", ZONES[0])
        await site.start_gateways()
        await asyncio.sleep(1)
        record = site.record
        sent_at, tasks = {}, []
        queries = iter(range(10**6))

        async def ask(target):
            now = record.now()
            gateway = random.choice(site.gateways)
            request_id, status, _ = await site.call(gateway, target, body=BODY)
            sent_at[request_id] = now
            return status

        async def send(count):
            for _ in range(count):
                tasks.append(asyncio.create_task(ask(f"{PATH}?q={next(queries)}")))
                await asyncio.sleep(GAP_S)

        async def send_sound():
            """Send orders of other paths all the time."""
            for number in range(10**6):
                tasks.append(asyncio.create_task(ask(f"/orders/sound-{number}")))
                await asyncio.sleep(0.4)

        if await ask("/orders/first") != 200:
            raise CannotRun("a sound order was not served")
        sound = asyncio.create_task(send_sound())
        await asyncio.sleep(CONTACT_S)
        await send(2)
        tasks.append(asyncio.create_task(ask(f"{PATH}?q={next(queries)}")))
        await asyncio.sleep(KILL_AFTER_S)
        crashes = DeskEngine.crashes
        if has_trouble() and len(crashes) != 3:
            raise CannotRun(f"{len(crashes)} crashes, three were expected")
        third_at = crashes[2] if has_trouble() else record.now()
        if has_trouble() and KILLS:
            await asyncio.gather(*(gateway.kill() for gateway in site.gateways))
            record.write("all gateways are killed")
            await asyncio.sleep(DOWN_GATEWAYS_S)
            for gateway in site.gateways:
                gateway.start()
            record.write("all gateways are started")
        await site.wait_ready()
        in_touch_at = max(record.now(), third_at) + CONTACT_S + MARGIN_S
        await asyncio.sleep(in_touch_at - record.now())
        record.write("all gateways are in touch")
        await send(LATER_REQUESTS)
        sound.cancel()
        await asyncio.gather(*tasks)
        late = [each for each in DeskEngine.reached if sent_at[each] >= in_touch_at]
        record.write(
            f"crashes: {len(crashes)}; at engines, sent later than ContactMs after"
            f" the third crash: {len(late)}, {ALLOWED} are allowed", late
        )
        print((FOLDER / "record.txt").read_text().splitlines()[-1])
        # Without three crashes it is no request that crashes engines.
        return len(crashes) >= 3 and len(late) > ALLOWED


main(case)
