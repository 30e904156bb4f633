"""Show the daemons' counters."""

from collections import Counter

from .base import Command


class CountersCommand(Command):
    """Show the daemons' counters."""

    async def __call__(self, prefix: str = "") -> None:
        """List each counter, summed over the daemons, by name.

        ``prefix`` limits the list to counters whose names start with it.
        """
        sums: Counter[str] = Counter()
        async with self._open_session() as session:
            for answer in await session.request_all("/ops/counters"):
                if answer.succeeded:
                    sums.update(answer.value)
                else:
                    self._output.print_text(f"{answer.address}: {answer.problem}")
        selected = {n: c for n, c in sorted(sums.items()) if n.startswith(prefix)}
        self._output.print_json(selected)
        rows = [{"counter": name, "count": count} for name, count in selected.items()]
        if not self._output.as_json:
            self._output.print_table(rows, ("counter", "count"))
