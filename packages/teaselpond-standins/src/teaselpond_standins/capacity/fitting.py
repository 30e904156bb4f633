"""Fit measured points by least squares, and say how far off the fit is."""

from collections.abc import Sequence

import numpy
from attrs import frozen


@frozen
class Fit:
    """Hold a constant and a slope for each cause, and the spread.

    ``spread`` is the largest residual, in the unit of the fitted value.
    """

    constant: float
    slopes: tuple[float, ...]
    spread: float
    points: int

    def at(self, *causes: float) -> float:
        """Return the fitted value for some causes."""
        pairs = zip(self.slopes, causes, strict=True)
        return self.constant + sum(slope * cause for slope, cause in pairs)


def fit(values: Sequence[float], *causes: Sequence[float]) -> Fit:
    """Fit values as a constant and a multiple of each cause."""
    columns = [numpy.ones(len(values)), *map(numpy.asarray, causes)]
    matrix = numpy.column_stack(columns)
    target = numpy.asarray(values, dtype=float)
    solution, *_ = numpy.linalg.lstsq(matrix, target, rcond=None)
    spread = float(numpy.abs(matrix @ solution - target).max())
    constant, *slopes = (float(each) for each in solution)
    return Fit(constant, tuple(slopes), spread, len(values))
