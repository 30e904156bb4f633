"""Send prompts with a part that crashes engines beside sound ones.

The prompts of one route are about one document: its part is the last that they
share. Some of them begin with another first part, which crashes each engine
that begins to write an answer on it. TROUBLE=0 leaves these out.
"""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from deployment import (  # noqa: E402
    CONTACT_SECONDS,
    KEY,
    TROUBLE,
    Site,
    route,
)
from standins import ID, SEAL, Record, ask  # noqa: E402

GATEWAYS = 2
LIMITS = {
    "CpuQuota": 0.537,
    "Cores": 2,
    "MemoryMb": 300,
    "MaxFds": 4100,
    "LinkMbps": 1000.0,
}
ENGINES = 6
RETURN_SECONDS = 3.0
SOUND_PART, BAD_PART, DOCUMENT = "a11ce001", "bad00001", "d0c00001"
CALM_SECONDS = 14.0
TROUBLE_SECONDS = 34.0
SOUND_PER_SECOND = 3.0
BAD_PER_SECOND = 3.0
EVENTS, EVENT_GAP = 5, 0.03
DEADLINE_SECONDS = 3.0

turns = itertools.count(1)


class Case:
    def __init__(self, record: Record) -> None:
        self.record = record
        self.site: Site | None = None
        self.crashed_at: list[float] = []
        self.begun: dict[str, float] = {}
        self.bad_arrivals: list[float] = []
        self.sound: list[tuple[float, str, object]] = []

    async def answer(self, call) -> None:
        parts = call.headers.get("x-teaselpond-prefix-hash", "").split(",")
        is_bad = any(each.startswith(BAD_PART + ":") for each in parts)
        now = time.monotonic()
        self.record("arrival of", call.id, "at", call.engine.id)
        if is_bad:
            self.bad_arrivals.append(now)
        await asyncio.sleep(0.03)
        if is_bad:
            await call.begin_stream()
            self.crashed_at.append(time.monotonic())
            await self.site.crash_and_return(call.engine, RETURN_SECONDS)
            return
        self.begun.setdefault(call.id, now)
        await call.stream(EVENTS, EVENT_GAP)

    async def send(self, first: str, name: str) -> None:
        turn = next(turns)
        gateway = self.site.gateways[turn % GATEWAYS]
        request_id = f"{name}-{turn}"
        headers = {
            ID: request_id,
            "Authorization": f"Bearer {KEY}",
            "X-Teaselpond-Deadline-Ms": int(DEADLINE_SECONDS * 1000),
            "X-Teaselpond-Model": "m",
            "X-Teaselpond-Token-Count": "1460,80",
            "X-Teaselpond-Prefix-Hash": (
                f"{first}:800,{DOCUMENT}:410,{0x10000000 + turn:08x}:250"
            ),
        }
        at = time.monotonic()
        got = await ask(
            gateway.front,
            "POST",
            "/notes/2f",
            headers,
            f"prompt {turn}".encode(),
            seconds=DEADLINE_SECONDS,
        )
        self.record("request", request_id, "to", gateway.name, "->", got, got.body[:40])
        if name == "sound":
            self.sound.append((at, request_id, got))

    async def keep_sending(self, first, name, rate, until) -> None:
        tasks = []
        at = time.monotonic()
        while at < until:
            tasks.append(asyncio.create_task(self.send(first, name)))
            at += 1 / rate
            await asyncio.sleep(max(0.0, at - time.monotonic()))
        await asyncio.gather(*tasks)


async def run(record: Record) -> int:
    case = Case(record)
    routes = [
        route(
            "notes",
            "stream",
            "assist",
            TimeoutMs=3000,
            SloMs=600,
            ItlTargetMs=600,
            MaxAttempts=2,
            Sticky=True,
            Resumable=True,
        )
    ]
    services = [
        {
            "Name": "assist",
            "HealthPath": "/healthz",
            "MaxConns": 360,
            "ColdStartS": 0.0,
            "ColdPerS": 0.0,
            "Engine": {"Slots": 64, "KvCapacity": 455986, "KvBytes": 18432, "Stride": 7},
        }
    ]
    async with Site(
        record,
        gateways=GATEWAYS,
        limits=LIMITS,
        routes=routes,
        services=services,
        engines=[("assist", ENGINES, case.answer)],
    ) as site:
        case.site = site
        await asyncio.sleep(4.0)
        started = time.monotonic()
        begun = started + CALM_SECONDS
        until = begun + TROUBLE_SECONDS
        sound = asyncio.create_task(
            case.keep_sending(SOUND_PART, "sound", SOUND_PER_SECOND, until)
        )
        await asyncio.sleep(CALM_SECONDS + 0.1)
        if TROUBLE:
            record.say("the prompts with the part that crashes engines begin")
            await case.keep_sending(BAD_PART, "bad", BAD_PER_SECOND, until)
        await sound
        return judge(case, begun)


def judge(case: Case, begun: float) -> int:
    say = case.record.say
    calm = [r for r in case.sound if r[0] < begun]
    fifth = (sorted(case.crashed_at)[:5] or [begun])[-1]
    say(f"{len(case.crashed_at)} engines crashed, the last of the first five at", f"{fifth - begun:.2f} s")
    late = [r for r in case.sound if r[0] >= fifth + 2 * CONTACT_SECONDS]

    def share(requests) -> float:
        return sum(r[1] in case.begun for r in requests) / max(1, len(requests))

    say(f"in calm {share(calm):.2f} of {len(calm)} sound requests began at an engine")
    say(f"later {share(late):.2f} of {len(late)} sound requests began at an engine")
    late_bad = [at for at in case.bad_arrivals if at > fifth + CONTACT_SECONDS]
    say(f"{len(late_bad)} requests with the bad part reached engines later")
    if len(calm) < 20 or len(late) < 20 or share(calm) < 0.9:
        return 2
    if share(late) < share(calm) / 2:
        say("LOST is broken")
        return 1
    say("the rule held")
    return 0


def main() -> int:
    record = Record(str(FOLDER / "record.txt"))
    try:
        return asyncio.run(run(record))
    except RuntimeError as error:
        record.say("the case could not run:", error)
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
