"""Test the handling of started processes."""

import asyncio
import signal
import sys
from unittest import mock

from teaselpond_standins.fleet.process import ManagedProcess
from teaselpond_standins.testing import AsyncTestCase


class ManagedProcessTests(AsyncTestCase):
    """Test signals to processes that have exited."""

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
