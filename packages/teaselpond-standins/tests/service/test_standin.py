"""Test what a caller sees of each fault of the plain service's stand-in."""

import aiohttp
from attrs import frozen

from teaselpond_model.resends import forbid_resend
from teaselpond_standins.service import ServiceFaultKind as Kind
from teaselpond_standins.service import ServiceStandin
from teaselpond_standins.testing import AsyncTestCase

SHORT_SECONDS = 0.2
LONG_SECONDS = 0.4


@frozen
class Case:
    """Define what a caller sees of a fault, and how often the call runs.

    ``seen`` is the status and the echoed request id, or how the call failed.
    """

    kind: Kind
    seen: tuple[int, str] | str
    ran: int = 1


CASES = (
    Case(Kind.REFUSE, (503, ""), ran=0),
    Case(Kind.DROP, "lost", ran=0),
    Case(Kind.DROP_REUSED, "lost", ran=0),
    Case(Kind.REDIRECT, (307, ""), ran=0),
    Case(Kind.SLOW, "timeout"),
    Case(Kind.LATE, "timeout"),
    Case(Kind.RUN_THEN_FAIL, (503, "")),
    Case(Kind.RUN_THEN_DROP, "lost"),
    Case(Kind.RUN_THEN_REDIRECT, (307, "")),
    Case(Kind.CROSS, (200, "someone-else")),
    Case(Kind.HALF, "cut"),
    Case(Kind.SILENCE, "timeout"),
)


class ServiceStandinTests(AsyncTestCase):
    """Call the stand-in with faults, on a connection that was used before."""

    async def call(self, method: str, key: str, seconds: float) -> tuple | str:
        """Return the status and the echoed id, or how the call failed."""
        started = False
        try:
            async with self.session.request(
                method,
                "/orders?size=27",
                data=b"shell",
                headers={"Idempotency-Key": key, "X-Request-Id": "r1"},
                allow_redirects=False,
                middlewares=(forbid_resend,),
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                started = True
                await response.read()
                return response.status, response.headers.get("X-Request-Id", "")
        except TimeoutError:
            return "timeout"
        except aiohttp.ClientError:
            return "cut" if started else "lost"

    async def test_faults(self) -> None:
        """Check the outcome and the number of runs for each fault."""
        standin = await self.enter(ServiceStandin())
        session = aiohttp.ClientSession(standin.base_url)
        self.session = await self.enter(session)
        for method in ("POST", "PUT"):
            for case in CASES:
                key = f"{method}-{case.kind.value}"
                self.assertEqual((200, "r1"), await self.call(method, "warm", 10))
                order = {"kind": case.kind.value, "key": key, "seconds": LONG_SECONDS}
                async with session.post("/_faults", json=order) as response:
                    self.assertEqual(204, response.status)
                seconds = SHORT_SECONDS if case.seen == "timeout" else 10
                seen = await self.call(method, key, seconds)
                self.assertEqual(case.seen, seen, case)
                if case.ran:
                    runs = standin.runs_by_key
                    await self.wait_until(lambda k=key, r=runs: r[k])
                async with session.get("/_ran") as response:
                    ran = await response.json()
                self.assertEqual(case.ran, ran["by_key"].get(key, 0), case)
                self.assertEqual(1, ran["received_by_key"][key], case)

    async def test_library_resends(self) -> None:
        """Count a PUT twice, which aiohttp repeats on a lost connection.

        It does so by itself unless ``forbid_resend`` is used.
        """
        standin = await self.enter(ServiceStandin())
        session = await self.enter(aiohttp.ClientSession(standin.base_url))
        for method, runs in (("POST", 1), ("PUT", 2)):
            standin.add_fault(Kind.RUN_THEN_DROP, key=method)
            headers = {"Idempotency-Key": method}
            try:
                async with session.request(method, "/x", headers=headers):
                    pass
            except aiohttp.ServerDisconnectedError:
                pass
            self.assertEqual(runs, standin.runs_by_key[method])
