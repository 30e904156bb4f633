"""Test the delay of the host list and the rate limit of downloads."""

from teaselpond_model.contracts import Address, Host, HostKind, HostState, WeightGrant
from teaselpond_standins.platform import MemoryHosts, MemoryWeights
from teaselpond_standins.testing import AsyncTestCase

ENTRY = Host("entry-1", Address("127.0.0.1", 9), "imst", HostKind.ENTRY)
LEAVING = Host(
    "entry-1", Address("127.0.0.1", 9), "imst", HostKind.ENTRY, HostState.LEAVING
)


class VirtualTimeTests(AsyncTestCase):
    """Test the stand-ins with a clock that the test sets."""

    now = 100.0

    async def test_hosts_lag(self) -> None:
        """Show readers each change only after the lag."""
        hosts = MemoryHosts(lag_seconds=5.0, clock=lambda: self.now)
        await hosts.register(ENTRY)
        self.assertEqual((), await hosts.list_hosts())
        self.now = 103.0
        await hosts.register(LEAVING)
        self.now = 105.0
        self.assertEqual((ENTRY,), await hosts.list_hosts())
        self.now = 108.0
        await hosts.remove("entry-1")
        self.assertEqual((LEAVING,), await hosts.list_hosts())
        self.now = 113.0
        self.assertEqual((), await hosts.list_hosts())

    async def test_weight_downloads_are_rate_limited(self) -> None:
        """Grant a burst, then one download in each interval."""
        weights = MemoryWeights(
            downloads_per_second=0.5, burst=2, clock=lambda: self.now
        )
        for seconds, granted, retry_after in (
            (0.0, True, 0.0),
            (0.0, True, 0.0),
            (0.0, False, 2.0),
            (1.5, False, 0.5),
            (0.5, True, 0.0),
            (0.0, False, 2.0),
        ):
            self.now += seconds
            grant = await weights.request("h", "m", "1")
            self.assertEqual(WeightGrant(granted, retry_after), grant)
        self.assertEqual(3, len(weights.grants))
