"""Test the handling of started processes."""

import asyncio
import signal
import sys
from unittest import mock

from teaselpond_standins.fleet.process import ManagedProcess
from teaselpond_standins.testing import AsyncTestCase


class ManagedProcessTests(AsyncTestCase):
    """Test signals to exited processes, and starts that are cancelled."""

    async def test_signal_after_exit(self) -> None:
        """Ignore a process that exited before its exit code was read."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", "", stderr=asyncio.subprocess.PIPE
        )
        managed = ManagedProcess("ended", process)
        missing_process = mock.patch("os.kill", side_effect=ProcessLookupError)
        with missing_process as kill:
            managed.send_signal(signal.SIGTERM)
        self.assertEqual(1, kill.call_count)
        self.assertEqual(0, await managed.wait(10.0))

    async def test_cancelled_start_leaves_no_process(self) -> None:
        """A soak that ends in the middle of a restart must not leave one."""
        started = []
        create = asyncio.create_subprocess_exec

        async def record(*arguments: str, **options: object):
            # This program prints no addresses.
            options["stdout"] = options["stderr"] = asyncio.subprocess.PIPE
            sleeper = "import time; time.sleep(60)"
            started.append(await create(sys.executable, "-c", sleeper, **options))
            return started[-1]

        with mock.patch("asyncio.create_subprocess_exec", record):
            starting = asyncio.create_task(ManagedProcess.start("g", ("none",)))
            await self.wait_until(lambda: started)
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
        self.assertEqual(-signal.SIGKILL, started[0].returncode)
