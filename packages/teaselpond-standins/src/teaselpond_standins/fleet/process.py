"""Start one process of a fleet and stop it by its id."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Mapping, Sequence

from teaselpond_model.exceptions import TeaselpondError

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0


class ManagedProcess:
    """Hold a started process, the address it listens on and its logs."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.listening: dict[str, str] = {}
        self.log_lines: list[str] = []
        self._process = process
        self._drains = [asyncio.create_task(self._read_log(process.stderr))]

    @classmethod
    async def start(
        cls,
        name: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> "ManagedProcess":
        """Start ``python -m`` with the arguments and wait until it listens.

        Raise TeaselpondError when it ends or stays silent.
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
            managed._drains.append(
                asyncio.create_task(managed._read_log(process.stdout))
            )
        except (TimeoutError, ValueError) as error:
            await managed.kill()
            raise TeaselpondError(
                f"{name} did not start: {managed.log_tail()}", step="start", peer=name
            ) from error
        return managed

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended yet."""
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

    def log_tail(self, lines: int = 15) -> str:
        """Return the last lines of the process's log."""
        return "\n".join(self.log_lines[-lines:])

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.running:
            # A process may have ended whose exit code is still on its way.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        await self._process.wait()
        await asyncio.gather(*self._drains)

    async def stop(self) -> int:
        """Ask the process to stop, and kill it when it does not in time."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            await self.kill()
        await asyncio.gather(*self._drains)
        return self._process.returncode

    async def wait(self, seconds: float) -> int | None:
        """Wait for the process's end; return None when it still runs."""
        try:
            await asyncio.wait_for(self._process.wait(), seconds)
        except TimeoutError:
            return None
        return self._process.returncode

    async def _read_log(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self.log_lines.append(line.decode(errors="replace").rstrip())
