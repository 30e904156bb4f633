"""Test gateway processes before upstreams that a request crashes."""

import aiohttp

from ..soak.crashing import DOWN_SECONDS, CrashingSite
from ..soak.site import SoakPlan, SoakSite
from .cases import AsyncTestCase

START_SECONDS = 20.0
# The request may reach upstreams this often later than CONTACT_SECONDS after
# it has crashed the third.
CRASHES = 3
ALLOWED_LATE_CALLS = 3
# What gateways wrote of these is printed with a failure.
PRINTED_EVENTS = ("process-ended", "quarantine", "probation", "request-")


class CrashingSiteTestCase(AsyncTestCase):
    """Check how often a crashing request reaches upstreams."""

    async def start(
        self,
        engines: int,
        *,
        gateways: int = 3,
        is_silent: bool = False,
        keeps_entries: bool = False,
        down_seconds: float = DOWN_SECONDS,
        work_seconds: float | None = None,
    ) -> CrashingSite:
        """Start gateways before some upstreams, which work for some time."""
        plan = SoakPlan(
            gateways=gateways, model_engines=0, plain_engines=engines, callers=0
        )
        site = await self.enter(SoakSite(plan))
        self.assertEqual([], await site.wait_until_ready(START_SECONDS))
        session = await self.enter(aiohttp.ClientSession())
        crashing = await self.enter(
            CrashingSite(site, session, is_silent, CRASHES, keeps_entries, down_seconds)
        )
        crashing.prepare()
        if work_seconds is not None:
            for engine in site.engines_by_id.values():
                engine.upstream.work_seconds = work_seconds
        return crashing

    def check(self, crashing: CrashingSite) -> None:
        """Check that upstreams crashed, and that few requests came late."""
        print(f"crashes: {len(crashing.crashed_at)}")
        print(f"late calls: {len(crashing.late_calls())}")
        for gateway in crashing.site.gateways:
            lines = gateway.logs + (
                gateway.process.log_lines if gateway.process is not None else []
            )
            for line in lines:
                if any(f'"event": "{event}' in line for event in PRINTED_EVENTS):
                    print(gateway.name, line)
        self.assertGreaterEqual(len(crashing.crashed_at), CRASHES)
        self.assertLessEqual(len(crashing.late_calls()), ALLOWED_LATE_CALLS)
