"""Test what callers get when the first upstream of a call has a fault."""

import aiohttp
from attrs import frozen

from teaselpond_standins.service import ListedFault
from teaselpond_standins.service import ListedFaultKind as Kind
from teaselpond_standins.service.listed import SIGNATURE
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet


@frozen
class Case:
    """Describe the expected result when the first upstream has a fault.

    ``status`` is None if the caller's answer is incomplete. ``runs`` is how
    often the call runs, ``events`` how many the upstream sends before the
    fault.
    """

    path: str
    kind: Kind
    status: int | None
    runs: int
    is_signed: bool
    events: int = 0


# An idempotent call may run twice, a resumable stream continues on another
# upstream, and any other call runs at most once, even if its answer is lost.
CASES = (
    Case("/stock/x", Kind.SHED, 200, 1, True),
    Case("/stock/x", Kind.DROP, 200, 1, True),
    Case("/stock/x", Kind.OTHER_ENGINE, 200, 1, True),
    Case("/stock/x", Kind.FAIL, 200, 2, True),
    Case("/stock/x", Kind.FALSE_SHED, 200, 2, True),
    Case("/stock/x", Kind.RUN_THEN_DROP, 200, 2, True),
    Case("/stock/x", Kind.HALF, 200, 2, True),
    Case("/stock/x", Kind.CROSS, 200, 2, True),
    Case("/stock/x", Kind.UNSIGNED, 200, 2, True),
    Case("/stock/x", Kind.ENCODED, 200, 2, True),
    Case("/stock/x", Kind.UNFRAMED, 200, 1, True),
    Case("/stock/x", Kind.UNFRAMED_RESET, 200, 2, True),
    Case("/stock/x", Kind.SILENCE, 200, 2, True),
    Case("/stock/x", Kind.ENDLESS_HEADS, 200, 2, True),
    Case("/stock/x", Kind.ENDLESS_CHUNKS, 200, 2, True),
    Case("/orders/x", Kind.SHED, 200, 1, True),
    Case("/orders/x", Kind.OTHER_ENGINE, 200, 1, True),
    Case("/orders/x", Kind.DROP, 502, 0, False),
    Case("/orders/x", Kind.FAIL, 500, 1, True),
    Case("/orders/x", Kind.FALSE_SHED, 502, 1, False),
    Case("/orders/x", Kind.RUN_THEN_DROP, 502, 1, False),
    Case("/orders/x", Kind.HALF, 502, 1, False),
    Case("/orders/x", Kind.CROSS, 502, 1, False),
    Case("/orders/x", Kind.UNSIGNED, 502, 1, False),
    Case("/orders/x", Kind.ENCODED, 502, 1, False),
    Case("/orders/x", Kind.UNFRAMED, 200, 1, True),
    Case("/orders/x", Kind.UNFRAMED_RESET, 502, 1, False),
    Case("/orders/x", Kind.SILENCE, 504, 1, False),
    Case("/orders/x", Kind.ENDLESS_HEADS, 502, 1, False),
    Case("/orders/x", Kind.ENDLESS_CHUNKS, 502, 1, False),
    Case("/stream/x", Kind.SHED, 200, 1, True),
    Case("/stream/x", Kind.FAIL, 200, 2, True),
    Case("/stream/x", Kind.RUN_THEN_DROP, 200, 2, True),
    Case("/stream/x", Kind.CUT_STREAM, 200, 2, True, events=0),
    Case("/stream/x", Kind.CUT_STREAM, 200, 2, True, events=3),
    Case("/stream/x", Kind.CUT_EVENT, 200, 2, True, events=3),
    Case("/stream/x", Kind.STALL_STREAM, 200, 2, True, events=2),
    Case("/stream/x", Kind.SILENCE, 200, 2, True),
    Case("/stream/x", Kind.ENDLESS_HEADS, 200, 2, True),
    Case("/stream/x", Kind.ENDLESS_CHUNKS, 200, 2, True, events=2),
    Case("/single/x", Kind.ENDLESS_CHUNKS, None, 1, True, events=2),
    Case("/single/x", Kind.CUT_STREAM, None, 1, True, events=3),
    Case("/single/x", Kind.CUT_EVENT, None, 1, True, events=3),
    Case("/single/x", Kind.CUT_STREAM, 502, 1, False, events=0),
    Case("/single/x", Kind.SILENCE, 504, 1, False),
)
ALL_EVENTS = "".join(f"id: {n}\ndata: event {n}\n\n" for n in range(1, 6))


class FaultTests(AsyncTestCase):
    """Send calls of each kind of route to upstreams with each fault."""

    async def check_case(self, case: Case) -> None:
        """Check the status, the signature and the number of runs of a case."""
        fleet = await self.enter(GatewayFleet())
        upstreams = fleet.model_upstreams + fleet.plain_upstreams
        shared = upstreams[0].faults
        for upstream in upstreams:
            # All upstreams share the faults, so the first one called has it.
            # Pauses separate the events, since data sent just before a
            # connection breaks may be lost.
            upstream.faults = shared
            upstream.event_seconds = 0.05
        shared.add(ListedFault(case.kind, case.events), 1)
        status, signed, body = await _send_call(fleet, case.path)
        runs = sum(upstream.runs_by_id["id-x"] for upstream in upstreams)
        self.assertEqual(
            (case.status, case.runs, case.is_signed), (status, runs, signed), case
        )
        if case.status == 200 and case.path.startswith("/stream/"):
            self.assertEqual(ALL_EVENTS, body)


class ShedAgainTests(AsyncTestCase):
    """Shed a call that another upstream may have run."""

    async def test_upstream_that_shed_is_asked_again(self) -> None:
        """A call that the last upstream shed is offered to it again."""
        fleet = await self.enter(GatewayFleet())
        upstreams = fleet.plain_upstreams
        shared = upstreams[0].faults
        upstreams[1].faults = shared
        shared.add(ListedFault(Kind.SILENCE), 1)
        shared.add(ListedFault(Kind.SHED), 1)
        status, is_signed, _ = await _send_call(fleet, "/stock/x")
        self.assertEqual((200, True), (status, is_signed))


async def _send_call(fleet: GatewayFleet, path: str) -> tuple[int | None, bool, str]:
    """Return the status, whether it is signed, and the body of an answer."""
    method = "GET" if path.startswith("/stock/") else "POST"
    signed = False
    try:
        async with fleet.call(
            path, method=method, request_id="id-x", deadline_ms=2000
        ) as response:
            signed = SIGNATURE in response.headers
            body = (await response.read()).decode()
            return response.status, signed, body
    except aiohttp.ClientPayloadError:
        return None, signed, ""


def _add_case(case: Case) -> None:
    async def test(self: FaultTests) -> None:
        await self.check_case(case)

    name = f"{case.path.split('/')[1]}_{case.kind.value}_{case.events}"
    test.__doc__ = f"Check the case {name}."
    setattr(FaultTests, f"test_{name.replace('-', '_')}", test)


for _case in CASES:
    _add_case(_case)
