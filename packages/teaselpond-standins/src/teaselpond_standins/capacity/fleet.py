"""Measure fleets of control nodes, each in a separate process."""

import asyncio
import json
import statistics
import sys

from attrs import define, field, frozen

from ..platform import PlatformStandin
from .node import Load

ZONES = 5
START_TIMEOUT_SECONDS = 60.0
SETTLE_SECONDS = 3.0


@frozen
class ControlPoint:
    """Hold the means per daemon of one run, and two maxima.

    Bytes are counted in both directions. ``packet_bytes_per_second`` counts
    one packet with its headers per frame.
    """

    daemons: int
    tells_loads: bool
    grants_asked_per_second: float
    seconds: float
    lasting_links: float
    links: float
    loads_learned_per_second: float
    loads_told_per_second: float
    grants_per_second: float
    grants_failed: int
    frames_per_second: float
    bytes_per_second: float
    bytes_per_second_max: float
    packet_bytes_per_second: float
    processor_share: float
    processor_share_max: float
    resident_bytes: float
    bytes_per_second_by_kind: dict[str, float]


@define(eq=False)
class NodeProcess:
    """Run a node as a process and exchange JSON lines with it."""

    process: asyncio.subprocess.Process

    @classmethod
    async def start(cls, platform_url: str, number: int) -> "NodeProcess":
        """Start the process of the node with this number."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "teaselpond_standins",
            "control-node",
            f"--platform={platform_url}",
            f"--daemon_id=daemon-{number:03}",
            f"--zone=zone-{number % ZONES + 1}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return cls(process)

    async def request(self, command: dict, seconds: float) -> dict:
        """Send a command and return its answer; raise TimeoutError."""
        self.process.stdin.write(json.dumps(command).encode() + b"\n")
        await self.process.stdin.drain()
        async with asyncio.timeout(seconds):
            return json.loads(await self.process.stdout.readline())

    async def stop(self) -> None:
        """Stop the node; kill it if it doesn't end within 10 seconds."""
        self.process.stdin.close()
        try:
            async with asyncio.timeout(10):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


@define(eq=False)
class ControlFleet:
    """Run nodes against one stand-in platform."""

    size: int
    nodes: list[NodeProcess] = field(factory=list)
    platform: PlatformStandin = field(factory=PlatformStandin)

    async def __aenter__(self) -> "ControlFleet":
        await self.platform.start()
        for number in range(self.size):
            self.nodes.append(await NodeProcess.start(self.platform.base_url, number))
        await self._request_all({"members": self.size}, START_TIMEOUT_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.platform.stop()

    async def measure(self, load: Load) -> ControlPoint:
        """Apply the same load to every node and return the means."""
        command = {
            "seconds": load.seconds,
            "tells_loads": load.tells_loads,
            "grants_per_second": load.grants_per_second,
        }
        samples = await self._request_all(command, load.seconds + START_TIMEOUT_SECONDS)
        return make_point(load, samples)

    async def _request_all(self, command: dict, seconds: float) -> list[dict]:
        answers = (node.request(command, seconds) for node in self.nodes)
        return list(await asyncio.gather(*answers))


def make_point(load: Load, samples: list[dict]) -> ControlPoint:
    """Return the point that summarizes the samples of one run."""

    def rates(name: str) -> list[float]:
        return [sample[name] / sample["seconds"] for sample in samples]

    def mean_rate(name: str) -> float:
        return round(statistics.mean(rates(name)), 4)

    def mean(name: str) -> float:
        return round(statistics.mean(sample[name] for sample in samples), 3)

    kinds = sorted({kind for sample in samples for kind in sample["bytes_by_kind"]})
    bytes_by_kind = {
        kind: round(
            statistics.mean(
                sample["bytes_by_kind"].get(kind, 0) / sample["seconds"]
                for sample in samples
            ),
            2,
        )
        for kind in kinds
    }
    return ControlPoint(
        daemons=len(samples),
        tells_loads=load.tells_loads,
        grants_asked_per_second=load.grants_per_second,
        seconds=load.seconds,
        lasting_links=mean("lasting_links"),
        links=mean("links"),
        loads_learned_per_second=mean_rate("facts_learned"),
        loads_told_per_second=mean_rate("loads_told"),
        grants_per_second=mean_rate("grants"),
        grants_failed=sum(sample["grants_failed"] for sample in samples),
        frames_per_second=mean_rate("frames"),
        bytes_per_second=mean_rate("frame_bytes"),
        bytes_per_second_max=round(max(rates("frame_bytes")), 2),
        packet_bytes_per_second=mean_rate("packet_bytes"),
        processor_share=round(statistics.mean(rates("processor_seconds")), 6),
        processor_share_max=round(max(rates("processor_seconds")), 6),
        resident_bytes=mean("resident_bytes"),
        bytes_per_second_by_kind=bytes_by_kind,
    )
