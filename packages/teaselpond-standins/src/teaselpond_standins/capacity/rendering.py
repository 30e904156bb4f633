"""Format tables and numbers for the capacity page."""

from collections.abc import Iterable


def render_table(header: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a Markdown table."""
    titles = list(header)
    lines = [titles, ["---"] * len(titles), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)


def percent(share: float) -> str:
    """Return a share between 0 and 1 as a percentage."""
    return f"{100 * share:.2f}%"


def megabytes(size_bytes: float) -> str:
    """Return a size in bytes as megabytes."""
    return f"{size_bytes / 1e6:.1f} MB"
