"""Start, signal and stop one process of a fleet."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from teaselpond_model.exceptions import TeaselpondError

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0


class ManagedProcess:
    """Manage a started process and collect its log."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.listening: dict[str, str] = {}
        self.log_lines: list[str] = []
        self._process = process
        self._log_tasks = [asyncio.create_task(self._read_log(process.stderr))]

    @classmethod
    async def start(
        cls,
        name: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> "ManagedProcess":
        """Start ``python -m`` with the arguments and wait until it listens.

        The process prints its addresses as a line of JSON. Raise
        TeaselpondError if it exits first or exceeds START_TIMEOUT_SECONDS. If
        cancelled, no process is left.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **(environment or {})},
        )
        managed = cls(name, process)
        try:
            line = await asyncio.wait_for(
                process.stdout.readline(), START_TIMEOUT_SECONDS
            )
            managed.listening = json.loads(line)
            managed._log_tasks.append(
                asyncio.create_task(managed._read_log(process.stdout))
            )
        except (TimeoutError, ValueError) as error:
            await managed.kill()
            raise TeaselpondError(
                f"{name} did not start: {managed.log_tail()}", step="start", peer=name
            ) from error
        except asyncio.CancelledError:
            await managed.kill()
            raise
        return managed

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process has not exited yet."""
        return self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._process.returncode

    @property
    def address(self) -> str:
        """Return the ip:port that the process listens on."""
        return self.listening["listening"]

    @property
    def url(self) -> str:
        """Return the base URL of the process."""
        return f"http://{self.address}"

    @property
    def memory_peak_mb(self) -> float:
        """Return the most memory that the process has held, in MiB."""
        return self._read_memory("VmHWM")

    @property
    def memory_mb(self) -> float:
        """Return the memory that the process holds, in MiB."""
        return self._read_memory("VmRSS")

    @property
    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def log_tail(self, lines: int = 15) -> str:
        """Return the last lines of the process's log."""
        return "\n".join(self.log_lines[-lines:])

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is still running."""
        if self.running:
            # The process may have exited before asyncio read its exit code.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        await self._process.wait()
        await asyncio.gather(*self._log_tasks)

    async def stop(self) -> int:
        """Terminate the process and return its exit code.

        The process is killed after STOP_TIMEOUT_SECONDS.
        """
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            await self.kill()
        await asyncio.gather(*self._log_tasks)
        return self._process.returncode

    async def wait(self, seconds: float) -> int | None:
        """Wait for the exit code; return None if the process still runs."""
        try:
            await asyncio.wait_for(self._process.wait(), seconds)
        except TimeoutError:
            return None
        return self._process.returncode

    def _read_memory(self, name: str) -> float:
        status = Path(f"/proc/{self.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith(name))
        return int(line.split()[1]) / 1024

    async def _read_log(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self.log_lines.append(line.decode(errors="replace").rstrip())
