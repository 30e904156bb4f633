"""Show the counters of the daemons."""

from collections import Counter

from .base import Command


class CountersCommand(Command):
    """Show the counters of the daemons."""

    async def __call__(self, prefix: str = "") -> None:
        """List the sums of the daemons' counters, by name."""
        sums: Counter[str] = Counter()
        async with self._open_session() as session:
            for answer in await session.request_all("/ops/counters"):
                if answer.succeeded:
                    sums.update(answer.value)
                else:
                    self._output.print_text(f"{answer.address}: {answer.problem}")
        chosen = {n: c for n, c in sorted(sums.items()) if n.startswith(prefix)}
        self._output.print_json(chosen)
        rows = [{"counter": name, "count": count} for name, count in chosen.items()]
        if not self._output.as_json:
            self._output.print_table(rows, ("counter", "count"))
