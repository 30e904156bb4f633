"""Send random requests to gateways on connections that are reused."""

import asyncio
import itertools
import json
import random
import time
from collections.abc import AsyncIterator

import aiohttp
from attrs import define, field
from yarl import URL

from ..drill.records import Ending
from ..platform.operator import HOST, KEY
from ..service.listed import REQUEST_ID, SIGNATURE
from .records import Attempt, CallKind, DirectoryAnswer, SoakRecords
from .site import REGION, ZONES, SoakSite

DEADLINE_SECONDS = 3.0
# A caller waits this long after its deadline, to record late answers.
LATE_ANSWER_SECONDS = 2.0
MEAN_THINK_SECONDS = 0.15
CONNECT_TIMEOUT_SECONDS = 1.0
LOCATE_TIMEOUT_SECONDS = 1.0
LOCATE_ATTEMPTS = 3
LOCATE_INTERVAL_SECONDS = 2.0
# Some callers keep the directory's answer this many times longer.
SLOW_LOCATE_FACTOR = 3.0
GIVE_UP_RATIO = 0.05
GIVE_UP_SECONDS = (0.02, 0.3)
OLD_KEY_RATIO = 0.25
# Some bodies are complete this much later than their heads.
SLOW_BODY_RATIO = 0.1
SLOW_BODY_SECONDS = (0.1, 1.5)
SESSION_COUNT = 12
SHARED_PREFIX = "a1:400"


@define(eq=False)
class Caller:
    """Send requests one after another, and record how each ends."""

    number: int
    site: SoakSite
    records: SoakRecords
    rng: random.Random
    request_numbers: itertools.count
    session: aiohttp.ClientSession = field(init=False)
    _addresses: tuple[str, ...] = ()
    _located_at: float = -1000.0
    _locate_interval_seconds: float = LOCATE_INTERVAL_SECONDS

    def __attrs_post_init__(self) -> None:
        timeout = aiohttp.ClientTimeout(
            total=DEADLINE_SECONDS + LATE_ANSWER_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        # The directory returns addresses, for which no cookies are kept.
        self.session = aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar()
        )
        if self.number % 4 == 0:
            self._locate_interval_seconds *= SLOW_LOCATE_FACTOR

    async def run(self, ends_at: float) -> None:
        """Send requests until a time of the monotonic clock."""
        async with self.session:
            while time.monotonic() < ends_at:
                address = await self._locate()
                if address is not None:
                    await self._send_request(address)
                await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_THINK_SECONDS))

    async def send_once(self, address: str, kind: CallKind) -> Attempt:
        """Send one request of a kind to a gateway, with a valid key.

        The attempt is returned and not recorded.
        """
        attempt = self._build_attempt(address, kind, KEY)
        await self._send(address, attempt)
        return attempt

    async def _send_request(self, address: str) -> None:
        kind = self.rng.choice(tuple(CallKind))
        attempt = self._build_attempt(address, kind, self._choose_key())
        self.records.attempts.append(attempt)
        if self.rng.random() < SLOW_BODY_RATIO:
            attempt.body_seconds = self.rng.uniform(*SLOW_BODY_SECONDS)
        if self.rng.random() < GIVE_UP_RATIO:
            seconds = self.rng.uniform(*GIVE_UP_SECONDS)
            try:
                async with asyncio.timeout(seconds):
                    await self._send(address, attempt)
            except TimeoutError:
                attempt.gave_up_at = attempt.ended = time.monotonic()
            return
        await self._send(address, attempt)
        if attempt.ending is Ending.UNREACHABLE:
            # The gateway may be down: query the directory before the next one.
            self._located_at = -1000.0
        if attempt.retry_after is not None:
            await asyncio.sleep(min(attempt.retry_after, DEADLINE_SECONDS / 3))

    def _choose_key(self) -> str:
        keys = list(self.records.valid_from_by_key)
        if self.rng.random() < OLD_KEY_RATIO:
            return self.rng.choice(keys)
        return self.rng.choice((KEY, keys[-1]))

    def _build_attempt(self, address: str, kind: CallKind, key: str) -> Attempt:
        number = next(self.request_numbers)
        request_id = f"request-{number}"
        headers = {}
        if kind.is_stream:
            session = self.rng.randrange(SESSION_COUNT)
            headers = {
                "X-Teaselpond-Model": "m",
                "X-Teaselpond-Token-Count": "500,45",
                "X-Teaselpond-Prefix-Hash": f"{SHARED_PREFIX},b{session}:100",
            }
        return Attempt(
            request_id,
            kind,
            self.site.get_gateway_name(address),
            f"/{kind.value}/{number}?of=soak",
            key,
            headers,
            DEADLINE_SECONDS,
            time.monotonic(),
        )

    async def _send(self, address: str, attempt: Attempt) -> None:
        headers = {
            "Host": HOST,
            REQUEST_ID: attempt.request_id,
            "X-Teaselpond-Deadline-Ms": str(round(attempt.deadline_seconds * 1000)),
            "Authorization": f"Bearer {attempt.key}",
            **attempt.headers,
        }
        is_get = attempt.kind is CallKind.STOCK
        attempt.sent = time.monotonic()
        try:
            async with self.session.request(
                "GET" if is_get else "POST",
                URL(f"http://{address}{attempt.target}", encoded=True),
                headers=headers,
                data=None if is_get else _make_body(attempt),
            ) as response:
                attempt.status = response.status
                attempt.seal = response.headers.get(SIGNATURE, "")
                attempt.reason = response.reason or ""
                retry_after = response.headers.get("Retry-After")
                if retry_after is not None:
                    attempt.retry_after = float(retry_after)
                async for chunk in response.content.iter_any():
                    attempt.body += chunk
            attempt.ending = Ending.WHOLE
            if not 200 <= attempt.status < 300:
                attempt.ending = Ending.REFUSED
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            attempt.ending = Ending.UNREACHABLE
            attempt.reason = repr(error)
        except TimeoutError as error:
            attempt.ending = Ending.SILENT
            attempt.reason = repr(error)
        except (aiohttp.ClientError, ValueError) as error:
            attempt.ending = Ending.CUT
            attempt.reason = repr(error)
        attempt.ended = time.monotonic()

    async def _locate(self) -> str | None:
        """Return a random gateway's address, or None if none is known.

        Query the directory first if the last answer is too old.
        """
        now = time.monotonic()
        if now - self._located_at > self._locate_interval_seconds:
            self._located_at = now
            names = list(self.site.gateways)
            for gateway in self.rng.sample(names, min(LOCATE_ATTEMPTS, len(names))):
                if await self._query_directory(gateway.name, gateway.ip):
                    break
        return self.rng.choice(self._addresses) if self._addresses else None

    async def _query_directory(self, name: str, ip: str) -> bool:
        url = f"http://{ip}:{self.site.ports['directory']}/v1/resolve"
        zone = ZONES[self.number % len(ZONES)]
        params = {"Name": HOST, "Zone": zone, "Region": REGION}
        timeout = aiohttp.ClientTimeout(total=LOCATE_TIMEOUT_SECONDS)
        try:
            async with self.session.get(
                url, params=params, timeout=timeout
            ) as response:
                if response.status != 200:
                    return False
                answer = json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return False
        self._addresses = tuple(answer["Addresses"])
        self.records.answers.append(
            DirectoryAnswer(
                time.monotonic(),
                name,
                frozenset(self.site.get_gateway_name(each) for each in self._addresses),
            )
        )
        return bool(self._addresses)


def _make_body(attempt: Attempt) -> bytes | AsyncIterator[bytes]:
    """Return a body, or one that comes in two parts after each other."""
    content = attempt.request_id.encode()
    return (
        _send_late(content, attempt.body_seconds) if attempt.body_seconds else content
    )


async def _send_late(content: bytes, seconds: float) -> AsyncIterator[bytes]:
    yield content[:1]
    await asyncio.sleep(seconds)
    yield content[1:]
