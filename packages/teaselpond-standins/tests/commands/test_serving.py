"""Test the stand-ins as processes."""

import signal

import aiohttp

from teaselpond_model.contracts import HostKind
from teaselpond_model.platform import Platform
from teaselpond_standins.fleet import ManagedProcess
from teaselpond_standins.testing import AsyncTestCase

STOP_SECONDS = 15.0


class ServingTests(AsyncTestCase):
    """Start, register and stop each stand-in in its process."""

    async def start(self, *arguments: str) -> ManagedProcess:
        """Start a process that ends with the test."""
        command = ["teaselpond_standins", *arguments]
        process = await ManagedProcess.start(arguments[0], command)
        self._exit_stack.push_async_callback(process.stop)
        return process

    async def test_standins_register_and_stop(self) -> None:
        """List the registered upstreams; exit with code 0 after SIGTERM."""
        platform = await self.start("platform")
        host = (f"--platform={platform.url}", "--zone=imst")
        engine = await self.start(
            "engine", *host, "--host_id=e1", "--model_version=2", "--slots=3"
        )
        service = await self.start("service", *host, "--host_id=s1")
        clients = await self.enter(Platform.open(platform.url))
        hosts = await clients.hosts.list_hosts()
        listed = [(h.host_id, h.kind, str(h.address), h.zone) for h in hosts]
        expected = [
            ("e1", HostKind.ENGINE, engine.address, "imst"),
            ("s1", HostKind.SERVICE, service.address, "imst"),
        ]
        self.assertEqual(expected, listed)
        session = await self.enter(aiohttp.ClientSession())
        async with session.get(f"{engine.url}/load") as response:
            self.assertEqual("2", (await response.json())["model_version"])
        for process in (service, engine, platform):
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, await process.wait(STOP_SECONDS), process.log_tail())

    async def test_unknown_flag_is_refused(self) -> None:
        """Refuse an unknown flag of an engine and list the known ones."""
        with self.assertRaises(Exception) as caught:
            await self.start("engine", "--colour=red")
        self.assertIn("cold_limit", str(caught.exception))
