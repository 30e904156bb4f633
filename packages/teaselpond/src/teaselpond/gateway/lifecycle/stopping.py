"""End a process in time after the stop signal, whatever hangs.

This module imports nothing that is slow to load.
"""

import os
import signal
from collections.abc import Callable
from types import FrameType

# The kernel ends the process this long before the platform would kill it. A
# stop in order ends before, unless the host is slow or something hangs.
LAST_MARGIN_SECONDS = 0.15
# What remains for final answers if the signal may have come long ago, as for
# a process that was frozen meanwhile.
MIN_REMAINING_SECONDS = 0.25
# The kernel does not apply the default action of signals to this process.
INIT_PID = 1


def end_on_stop_signal() -> None:
    """End the process at once on SIGTERM, until it can stop in order.

    The default action would not do if the parent ignores or blocks SIGTERM.
    """
    signal.signal(signal.SIGTERM, _end_process)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM, signal.SIGALRM})


def handle_stop_signal(
    begin_stop: Callable[[], None], remaining_seconds: Callable[[], float]
) -> None:
    """Call ``begin_stop`` on the first SIGTERM, and set the limit.

    It is called between any two instructions of the main thread, also while
    the event loop is busy. ``remaining_seconds`` tells the time until the
    platform kills the process, after ``begin_stop``.
    """
    has_begun = False

    def receive(number: int, frame: FrameType | None) -> None:
        nonlocal has_begun
        if has_begun:
            return
        has_begun = True
        try:
            begin_stop()
        finally:
            limit_seconds(remaining_seconds() - LAST_MARGIN_SECONDS)

    signal.signal(signal.SIGTERM, receive)


def limit_seconds(seconds: float) -> None:
    """Let the kernel end the process after some seconds.

    This needs neither the event loop nor the interpreter.
    """
    is_init = os.getpid() == INIT_PID
    signal.signal(signal.SIGALRM, _end_process if is_init else signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, max(seconds, MIN_REMAINING_SECONDS))


def _end_process(number: int, frame: FrameType | None) -> None:
    os._exit(0)
