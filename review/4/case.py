"""A gateway is cut off while others are restarted, and an engine leaves.

The engine's entry is removed while one gateway is cut off from the store and
from all others. Meanwhile gateways are stopped and started in turn, as in a
planned roll. The rule DRAIN asks that no request reaches the engine later than
DrainMs after its removal, from machines in touch. Several such drills are
played one after the other.
"""

import asyncio
import signal
import sys
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    BOUNDS,
    ZONES,
    CannotRun,
    Gateway,
    Server,
    Site,
    free_ports,
    has_trouble,
    loopback_ip,
    main,
)

GATEWAYS = 6
DRILLS = 5
DESK_ENGINES = 4
MODEL_ENGINES = 6
ROLLED = 3
# The first gateway of the roll is stopped this long before the cut begins.
ROLL_LEAD_S = 3.6
CUT_S = 11.8
REMOVAL_S = 0.5
CONTACT_S = BOUNDS["ContactMs"] / 1000
DRAIN_S = BOUNDS["DrainMs"] / 1000
# The bounds are exceeded by this much, so that no measurement error counts.
MARGIN_S = 0.3
LOOKS_PER_GATEWAY = 6
NAMES = ("entry", "ready", "peers", "directory", "datagrams")


class Link:
    """Hold whether the paths of the gateway are cut."""

    def __init__(self):
        self.is_cut = False
        self.healed = asyncio.Event()
        self.healed.set()

    def cut(self):
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        self.is_cut = False
        self.healed.set()


class Datagrams(asyncio.DatagramProtocol):
    """Forward the datagrams of one address to another; drop them in a cut."""

    def __init__(self, link, target):
        self.link, self.target = link, target

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        if not self.link.is_cut:
            self.transport.sendto(data, self.target)


class Connections(Server):
    """Forward the connections of one address to another.

    In a cut, nothing passes on those that are open, until it ends. Those that
    are opened meanwhile stay silent for good, as their first packet is lost.
    """

    def __init__(self, link, ip, port, target):
        super().__init__(ip, port)
        self.link, self.target = link, target

    async def serve(self, reader, writer):
        if self.link.is_cut:
            await reader.read()
            return
        there_reader, there_writer = await asyncio.open_connection(*self.target)
        copies = [
            asyncio.create_task(self._copy(reader, there_writer)),
            asyncio.create_task(self._copy(there_reader, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in copies:
                each.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            there_writer.close()

    async def _copy(self, reader, writer):
        while data := await reader.read(65536):
            await self.link.healed.wait()
            writer.write(data)
            await writer.drain()


class CutSite(Site):
    """Put a proxy on all paths between one gateway, the others and the store.

    That gateway has ports of its own for its peers; the proxies listen on the
    ports at which each side expects the other.
    """

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self.link = Link()
        self.proxies = []

    async def __aexit__(self, *error):
        for each in self.proxies:
            await each.stop()
        await super().__aexit__(*error)

    async def start_gateways(self):
        ips = [loopback_ip(number) for number in range(self.count)]
        apart_names = ("peers-apart", "datagrams-apart")
        ports = free_ports(ips, (*NAMES, *apart_names))
        apart_ports = ports | {
            "peers": ports["peers-apart"],
            "datagrams": ports["datagrams-apart"],
        }
        # The hosts with the lowest hashes read the store for the others.
        self.apart = max(
            range(self.count), key=lambda n: zlib.crc32(f"edge-{n}".encode())
        )
        # The seeds are among the others.
        seeds = [ips[n] for n in range(self.count) if n != self.apart][:3]
        self.seeds = seeds
        store_proxy = await self._forward("127.0.0.1", 0, ("127.0.0.1", self.store.port))
        for number, ip in enumerate(ips):
            is_apart = number == self.apart
            here = apart_ports if is_apart else ports
            seen = ports if is_apart else apart_ports
            await self._forward(ip, seen["peers"], (ip, here["peers"]))
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda ip=ip, here=here: Datagrams(self.link, (ip, here["datagrams"])),
                local_addr=(ip, seen["datagrams"]),
            )
            gateway = Gateway(
                self.directory.name,
                number,
                here,
                store_proxy if is_apart else self.store,
                ZONES[number % 3],
            )
            gateway.write_settings(True, seeds)
            self.gateways.append(gateway)
            gateway.start()
        await self.wait_ready()
        for gateway in self.gateways:
            # The system runs now: a restart is no first start.
            gateway.write_settings(False, seeds)

    async def _forward(self, ip, port, target):
        proxy = Connections(self.link, ip, port, target)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy


async def roll(site, gateways):
    """Stop and start some gateways, one at a time."""
    for gateway in gateways:
        site.record.write("SIGTERM to", gateway.name)
        gateway.signal(signal.SIGTERM)
        async with asyncio.timeout(BOUNDS["GraceS"]):
            await asyncio.to_thread(gateway.process.wait)
        gateway.start()
        until = site.record.now() + 10
        while not await gateway.is_ready():
            if site.record.now() > until:
                raise CannotRun(f"{gateway.name} did not become ready")
            await asyncio.sleep(0.05)
        site.record.write(gateway.name, "is ready again")


async def drill(site, number):
    """Play one drill; return how many requests reached the engine too late."""
    record, link = site.record, site.link
    apart = site.gateways[site.apart]
    others = [each for each in site.gateways if each is not apart]
    first = number * ROLLED
    rolled = [others[(first + n) % len(others)] for n in range(ROLLED)]
    rolling = asyncio.create_task(roll(site, rolled))
    await asyncio.sleep(ROLL_LEAD_S)
    if has_trouble():
        link.cut()
        record.write(apart.name, "is cut off")
    cut_at = record.now()
    await asyncio.sleep(REMOVAL_S)
    leaving = next(
        each for each in site.engines if each.service == "desk" and each.is_listed
    )
    await leaving.leave()
    removed_at = record.now()
    record.write(f"entry of {leaving.engine_id} is removed, version {site.store.version}")
    # Another engine takes its place, as in a release.
    await site.add_engine(f"desk-new-{number}", "desk", leaving.zone)
    await asyncio.sleep(cut_at + CUT_S - record.now())
    link.heal()
    record.write(apart.name, "is no longer cut off")
    await asyncio.sleep(CONTACT_S + MARGIN_S)
    sent_at = record.now()
    await asyncio.gather(
        *(
            site.call(apart, f"/looks/{number}-{each}", "GET", b"")
            for each in range(LOOKS_PER_GATEWAY)
        )
    )
    late = [
        request_id
        for at, request_id, _ in leaving.arrivals
        if at > max(removed_at + DRAIN_S, sent_at)
    ]
    record.write(f"drill {number}: {leaving.engine_id} got {len(late)} too late", late)
    await rolling
    await leaving.stop()
    return len(late)


async def case():
    async with CutSite(FOLDER, gateways=GATEWAYS, era=1) as site:
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
