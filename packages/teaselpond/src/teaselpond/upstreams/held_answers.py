"""Limit the memory for answers that are read before they are passed on."""

import contextlib
from collections.abc import Iterator

from attrs import define

from ..exceptions import UpstreamInvalid

# The largest answer, and also the limit of all that a gateway holds at a time.
# A failing upstream may send without end.
MAX_HELD_BYTES = 16 * 1024 * 1024


@define(eq=False)
class HeldAnswer:
    """Count the bytes of one answer."""

    held_answers: "HeldAnswers"
    held_bytes: int = 0

    def add(self, count: int) -> None:
        """Hold more bytes; raise UpstreamInvalid if they are too many."""
        self.held_bytes += count
        self.held_answers.held_bytes += count
        if self.held_answers.is_exceeded_by(self):
            raise UpstreamInvalid(
                f"no room for {self.held_bytes} bytes of the answer, of"
                f" {self.held_answers.held_bytes} that are held",
                step="answer",
            )


@define(eq=False)
class HeldAnswers:
    """Count the bytes of all answers that a process holds."""

    limit_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    _count: int = 0

    @contextlib.contextmanager
    def hold(self, body: bytearray) -> Iterator[HeldAnswer]:
        """Yield the count of an answer, and release its bytes at the end.

        ``body`` is emptied, as an error's traceback would keep it.
        """
        answer = HeldAnswer(self)
        self._count += 1
        try:
            yield answer
        finally:
            self._count -= 1
            self.held_bytes -= answer.held_bytes
            body.clear()

    def is_exceeded_by(self, answer: HeldAnswer) -> bool:
        """Return whether an answer is the one that there is no room for.

        Small answers are read to the end beside one that has taken all the
        room, since they hold less than an equal share.
        """
        return (
            self.held_bytes > self.limit_bytes
            and answer.held_bytes > self.limit_bytes / self._count
        )
