"""Render rows and figures as the capacity page shows them."""

from collections.abc import Iterable


def render_table(header: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a Markdown table."""
    titles = list(header)
    lines = [titles, ["---"] * len(titles), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)


def percent(share: float) -> str:
    """Return a share in percent."""
    return f"{100 * share:.2f}%"


def megabytes(size: float) -> str:
    """Return a size given in bytes."""
    return f"{size / 1e6:.1f} MB"
