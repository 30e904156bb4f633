"""Run one measured control node as a process."""

import asyncio
import json
import sys

from teaselpond.membership import Membership
from teaselpond_model.platform import Platform

from ..capacity.node import ControlNode, Load, sample_as_dict


class ControlNodeCommand:
    """Run a daemon's control parts and measure them on request.

    Each line of standard input is a Load as JSON, answered by a Sample as
    JSON, or ``{"members": N}``, answered once N daemons are usable. An empty
    line or the end of the input stops the node.
    """

    name = "control-node"

    def __call__(self, platform: str, daemon_id: str, zone: str) -> None:
        """Run until an empty line or the end of the input."""
        asyncio.run(_run(platform, str(daemon_id), str(zone)))


async def _run(platform_url: str, daemon_id: str, zone: str) -> None:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    async with Platform.open(platform_url) as platform:
        node = ControlNode(daemon_id, zone, platform)
        await node.start()
        try:
            while line := (await reader.readline()).strip():
                command = json.loads(line)
                if "members" in command:
                    await _wait_for_members(node, command["members"])
                    _print_answer({"members": command["members"]})
                else:
                    _print_answer(sample_as_dict(await node.measure(Load(**command))))
        finally:
            await node.stop()


async def _wait_for_members(node: ControlNode, count: int) -> None:
    reached = asyncio.Event()

    def check(membership: Membership) -> None:
        if len(membership.usable_daemons()) >= count:
            reached.set()

    with node.membership.memberships.subscribe(check):
        await reached.wait()


def _print_answer(answer: dict) -> None:
    print(json.dumps(answer), flush=True)
