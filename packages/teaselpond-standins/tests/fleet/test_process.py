"""Check how started processes are stopped."""

import asyncio
import signal
import sys
from unittest import mock

from teaselpond_standins.fleet.process import ManagedProcess
from teaselpond_standins.testing import AsyncTestCase


class ManagedProcessTests(AsyncTestCase):
    """Signal processes that have ended."""

    async def test_process_that_has_just_ended(self) -> None:
        """Ignore that a process is gone whose exit code is on its way."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", "", stderr=asyncio.subprocess.PIPE
        )
        managed = ManagedProcess("ended", process)
        gone = mock.patch("os.kill", side_effect=ProcessLookupError)
        with gone as kill:
            managed.send_signal(signal.SIGTERM)
        self.assertEqual(1, kill.call_count)
        self.assertEqual(0, await managed.wait(10.0))
