"""The store comes back from an older copy; later an engine leaves.

The engine's entry is removed when the store has been stable for ContactMs, and
the engine serves on, as the pages tell of engines that never report draining.
The rule DRAIN asks that no request reaches it later than DrainMs after that.
Several such drills are played one after the other.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    BOUNDS,
    ZONES,
    Site,
    has_trouble,
    main,
)

GATEWAYS = 6
DRILLS = 5
DESK_ENGINES = 4
MODEL_ENGINES = 6
COPY_AGE_S = 6.0
AWAY_S = 1.0
CONTACT_S = BOUNDS["ContactMs"] / 1000
DRAIN_S = BOUNDS["DrainMs"] / 1000
# The bounds are exceeded by this much, so that no measurement error counts.
MARGIN_S = 0.3
LOOKS_PER_GATEWAY = 6


async def drill(site, number):
    """Play one drill; return how many requests reached the engine too late."""
    store, record = site.store, site.record
    copied = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    if has_trouble():
        version = store.version
        store.is_down = True
        store.drop_all()
        record.write("store is away")
        await asyncio.sleep(AWAY_S)
        await store.restore(copied)
        # What the operator and the engines wrote is written again.
        await store.put("op", "config", site.written)
        for engine in site.engines:
            if engine.is_listed:
                await store.put("servers", engine.engine_id, engine.entry())
        store.is_down = False
        record.write(
            f"store is back from a copy: era {store.era},"
            f" version {store.version} after {version}"
        )
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(CONTACT_S + MARGIN_S)
    leaving = next(
        each for each in site.engines if each.service == "desk" and each.is_listed
    )
    await leaving.leave()
    removed_at = record.now()
    record.write(f"entry of {leaving.engine_id} is removed, version {store.version}")
    # Another engine takes its place, as in a release.
    await site.add_engine(f"desk-new-{number}", "desk", leaving.zone)
    await asyncio.sleep(DRAIN_S + MARGIN_S)
    for gateway in site.gateways:
        await asyncio.gather(
            *(
                site.call(gateway, f"/looks/{number}-{each}", "GET", b"")
                for each in range(LOOKS_PER_GATEWAY)
            )
        )
    late = [
        request_id
        for at, request_id, _ in leaving.arrivals
        if at > removed_at + DRAIN_S
    ]
    record.write(f"drill {number}: {leaving.engine_id} got {len(late)} too late", late)
    return len(late)


async def case():
    async with Site(FOLDER, gateways=GATEWAYS, era=1) as site:
        await site.write_config()
        for number in range(DESK_ENGINES):
            await site.add_engine(f"desk-{number}", "desk", ZONES[number % 3])
        for number in range(MODEL_ENGINES):
            await site.add_engine(f"model-{number}", "model", ZONES[number % 3])
        await site.start_gateways()
        await asyncio.sleep(2)
        late = [await drill(site, number) for number in range(DRILLS)]
        print(f"requests that reached a leaving engine too late, by drill: {late}")
        return any(late)


main(case)
