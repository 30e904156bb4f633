"""Hold the attempts of a call that may still answer it."""

import asyncio
from collections.abc import Callable, Coroutine
from types import TracebackType

from attrs import define, field

from ..timeouts import PauseAwareTimer
from ..upstreams.positions import StreamPosition
from .engines import Engine
from .health import Result
from .placement import Placement
from .replies import Reply
from .rollouts.runs import NO_RUN, NoRun, VersionRun
from .sending import AttemptFailed


@define(eq=False)
class Attempt:
    """Track one attempt of a call.

    ``sent_at`` is when it was sent, ``position`` where it goes on with a
    stream, ``begun_at`` when its first event came, and ``is_underway`` whether
    events have come for a while. Since ``heard_at`` no bytes of the answer
    have come; it is infinite while none are expected.

    If it ``is_limited``, it ``is_overdue`` while its upstream has been silent
    for too long. It ``is_given_up`` once another one has taken its place.
    ``version_run`` records its outcome where versions are rolled out.
    """

    placement: Placement
    sent_at: float
    position: StreamPosition = field(factory=StreamPosition)
    is_limited: bool = False
    version_run: VersionRun | NoRun = NO_RUN
    heard_at: float = field(init=False)
    begun_at: float | None = None
    is_underway: bool = False
    is_overdue: bool = False
    is_given_up: bool = False
    on_overdue: Callable[["Attempt"], None] = lambda attempt: None
    _timer: PauseAwareTimer = field(init=False)
    _task: asyncio.Task[Reply | None] | None = None

    def __attrs_post_init__(self) -> None:
        self.heard_at = self.sent_at
        self._timer = PauseAwareTimer(self._record_overdue)

    @property
    def engine(self) -> Engine:
        """Return the upstream."""
        return self.placement.record.engine

    @property
    def has_ended(self) -> bool:
        """Return whether the attempt has succeeded, failed or was given up."""
        return self._task is not None and self._task.done()

    @property
    def has_succeeded(self) -> bool:
        """Return whether the attempt has ended with an answer."""
        return (
            self.has_ended
            and not self._task.cancelled()
            and self._task.exception() is None
        )

    def start(
        self,
        answering: Coroutine[None, None, Reply | None],
        on_end: Callable[[], None],
    ) -> None:
        """Run the attempt in a task, and call back at its end."""

        def end(task: asyncio.Task[Reply | None]) -> None:
            self._timer.start(None)
            on_end()

        self._task = asyncio.create_task(answering)
        self._task.add_done_callback(end)

    def limit_silence(self, seconds: float | None) -> None:
        """Count the attempt as overdue after some seconds, None for never."""
        self.is_overdue = False
        self._timer.start(seconds)

    def give_up(self) -> None:
        """End the attempt because another one takes its place."""
        if not self.has_ended:
            self.is_given_up = True
            self.cancel()

    def cancel(self) -> None:
        """End the attempt."""
        self._timer.start(None)
        if self._task is not None:
            self._task.cancel()

    def result(self) -> Reply | None:
        """Return the answer, or None if it was streamed to the caller.

        Raise AttemptFailed if there is none, or what the caller's connection
        raised.
        """
        if self.is_given_up:
            raise AttemptFailed(Result.SILENT, "silent", peer=str(self.engine.address))
        return self._task.result()

    async def wait_closed(self) -> None:
        """Wait until the attempt has released its connection."""
        if self._task is not None:
            await asyncio.wait((self._task,))
            if not self._task.cancelled():
                # Nobody else may ask for the error.
                self._task.exception()

    def _record_overdue(self) -> None:
        if not self.has_ended:
            self.is_overdue = True
            self.on_overdue(self)


@define(eq=False)
class OpenAttempts:
    """Hold the attempts of one call that may still answer it.

    An attempt whose upstream is silent stays open beside the next one until
    the first of them has something for the caller.
    """

    _open: list[Attempt] = field(factory=list)
    _overdue: list[Attempt] = field(factory=list)
    _change: asyncio.Event = field(factory=asyncio.Event)

    async def __aenter__(self) -> "OpenAttempts":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if exc_type is None:
            self.give_up_others(None)
        for attempt in self._open:
            attempt.cancel()
        for attempt in self._open:
            await attempt.wait_closed()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def newest(self) -> Attempt | None:
        """Return the attempt that was sent last and is not given up."""
        attempts = (each for each in reversed(self._open) if not each.is_given_up)
        return next(attempts, None)

    def are_overdue(self) -> bool:
        """Return whether all attempts are silent for too long."""
        return all(attempt.is_overdue for attempt in self._open)

    def add(
        self,
        attempt: Attempt,
        answering: Coroutine[None, None, Reply | None],
        on_end: Callable[[], None],
    ) -> None:
        """Start an attempt, and call back at its end."""
        attempt.on_overdue = self._record_overdue
        self._open.append(attempt)

        def record_end() -> None:
            on_end()
            self._change.set()

        attempt.start(answering, record_end)

    def claim_caller(self, attempt: Attempt) -> bool:
        """Return whether an attempt may write to the caller, alone then."""
        if any(each.has_succeeded for each in self._open):
            attempt.is_given_up = True
        if attempt.is_given_up:
            return False
        self.give_up_others(attempt)
        return True

    def give_up_others(self, attempt: Attempt | None) -> None:
        """End all attempts but one."""
        for other in self._open:
            if other is not attempt:
                other.give_up()

    def take_ended(self) -> list[Attempt]:
        """Return the attempts that have ended, and hold them no longer."""
        ended = [attempt for attempt in self._open if attempt.has_ended]
        self._open = [attempt for attempt in self._open if not attempt.has_ended]
        return ended

    def take_overdue(self) -> list[Attempt]:
        """Return the open attempts that have become overdue since."""
        overdue, self._overdue = self._overdue, []
        return [attempt for attempt in overdue if attempt in self._open]

    async def wait(self, seconds: float | None) -> None:
        """Wait until an attempt ends or is overdue, or for some seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._change.wait()
        except TimeoutError:
            return
        finally:
            self._change.clear()

    def _record_overdue(self, attempt: Attempt) -> None:
        self._overdue.append(attempt)
        self._change.set()
