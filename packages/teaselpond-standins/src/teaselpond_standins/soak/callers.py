"""Send requests as callers do, on connections that are kept."""

import asyncio
import itertools
import json
import random
import time

import aiohttp
from attrs import define, field
from yarl import URL

from ..drill.records import Ending
from ..platform.operator import HOST, KEY
from ..service.listed import REQUEST_ID, SIGNATURE
from .records import Attempt, CallKind, DirectoryAnswer, SoakRecords
from .site import REGION, ZONES, SoakSite

DEADLINE_SECONDS = 3.0
# How much longer than its deadline a caller listens, to see a late answer.
PATIENCE_SECONDS = 2.0
THINK_SECONDS = 0.15
CONNECT_SECONDS = 1.0
LOCATE_SECONDS = 1.0
LOCATE_TRIES = 3
DIRECTORY_SECONDS = 2.0
# Some callers keep what the directory said three times as long.
SLOW_DIRECTORY_FACTOR = 3.0
GIVE_UP_SHARE = 0.05
GIVE_UP_SECONDS = (0.02, 0.3)
OLD_KEY_SHARE = 0.25
SESSIONS = 12
SHARED_PART = "a1:400"


@define(eq=False)
class Caller:
    """Send one request after another until the soak's end."""

    number: int
    site: SoakSite
    records: SoakRecords
    source: random.Random
    ids: itertools.count
    session: aiohttp.ClientSession = field(init=False)
    _named: tuple[str, ...] = ()
    _asked_at: float = -1000.0
    _directory_seconds: float = DIRECTORY_SECONDS

    def __attrs_post_init__(self) -> None:
        timeout = aiohttp.ClientTimeout(
            total=DEADLINE_SECONDS + PATIENCE_SECONDS, sock_connect=CONNECT_SECONDS
        )
        # The directory names gateways by address, and names have no cookies.
        self.session = aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar()
        )
        if self.number % 4 == 0:
            self._directory_seconds *= SLOW_DIRECTORY_FACTOR

    async def run(self, ends_at: float) -> None:
        """Send requests until a time of the steady clock."""
        async with self.session:
            while time.monotonic() < ends_at:
                address = await self._locate()
                if address is not None:
                    await self._ask(address)
                await asyncio.sleep(self.source.uniform(0, 2 * THINK_SECONDS))

    async def ask_once(self, address: str, kind: CallKind) -> Attempt:
        """Send one request of a kind to a gateway, with a key that holds."""
        attempt = self._attempt(address, kind, KEY)
        await self._send(address, attempt)
        return attempt

    async def _ask(self, address: str) -> None:
        kind = self.source.choice(tuple(CallKind))
        attempt = self._attempt(address, kind, self._key())
        self.records.attempts.append(attempt)
        if self.source.random() < GIVE_UP_SHARE:
            patience = self.source.uniform(*GIVE_UP_SECONDS)
            try:
                async with asyncio.timeout(patience):
                    await self._send(address, attempt)
            except TimeoutError:
                attempt.gave_up_at = attempt.ended = time.monotonic()
            return
        await self._send(address, attempt)
        if attempt.ending is Ending.UNREACHABLE:
            # Asked again, since this gateway is not there any more.
            self._asked_at = -1000.0
        if attempt.retry_after is not None:
            await asyncio.sleep(min(attempt.retry_after, DEADLINE_SECONDS / 3))

    def _key(self) -> str:
        keys = list(self.records.valid_from_by_key)
        if self.source.random() < OLD_KEY_SHARE:
            return self.source.choice(keys)
        return self.source.choice((KEY, keys[-1]))

    def _attempt(self, address: str, kind: CallKind, key: str) -> Attempt:
        number = next(self.ids)
        request_id = f"request-{number}"
        headers = {}
        if kind.is_stream:
            session = self.source.randrange(SESSIONS)
            headers = {
                "X-Teaselpond-Model": "m",
                "X-Teaselpond-Token-Count": "500,45",
                "X-Teaselpond-Prefix-Hash": f"{SHARED_PART},b{session}:100",
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
        is_stock = attempt.kind is CallKind.STOCK
        attempt.sent = time.monotonic()
        try:
            async with self.session.request(
                "GET" if is_stock else "POST",
                URL(f"http://{address}{attempt.target}", encoded=True),
                headers=headers,
                data=None if is_stock else attempt.request_id.encode(),
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
        """Return an address to use, asking the directory when due."""
        now = time.monotonic()
        if now - self._asked_at > self._directory_seconds:
            self._asked_at = now
            names = list(self.site.gateways)
            for gateway in self.source.sample(names, min(LOCATE_TRIES, len(names))):
                if await self._ask_directory(gateway.name, gateway.ip):
                    break
        return self.source.choice(self._named) if self._named else None

    async def _ask_directory(self, name: str, ip: str) -> bool:
        url = f"http://{ip}:{self.site.ports['directory']}/v1/resolve"
        zone = ZONES[self.number % len(ZONES)]
        params = {"Name": HOST, "Zone": zone, "Region": REGION}
        timeout = aiohttp.ClientTimeout(total=LOCATE_SECONDS)
        try:
            async with self.session.get(
                url, params=params, timeout=timeout
            ) as response:
                if response.status != 200:
                    return False
                answer = json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return False
        self._named = tuple(answer["Addresses"])
        self.records.answers.append(
            DirectoryAnswer(
                time.monotonic(),
                name,
                frozenset(self.site.get_gateway_name(each) for each in self._named),
            )
        )
        return bool(self._named)
