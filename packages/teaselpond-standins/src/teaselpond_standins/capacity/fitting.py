"""Fit measured points by least squares and return the largest residual."""

from collections.abc import Sequence

import numpy
from attrs import frozen


@frozen
class Fit:
    """Hold a constant, a slope per predictor and the largest residual.

    ``max_residual`` is absolute and has the unit of the fitted value.
    """

    constant: float
    slopes: tuple[float, ...]
    max_residual: float
    point_count: int

    def predict(self, *predictors: float) -> float:
        """Return the fitted value for one value of each predictor."""
        pairs = zip(self.slopes, predictors, strict=True)
        return self.constant + sum(slope * value for slope, value in pairs)


def fit(values: Sequence[float], *predictors: Sequence[float]) -> Fit:
    """Fit values as a constant plus a multiple of each predictor."""
    columns = [numpy.ones(len(values)), *map(numpy.asarray, predictors)]
    matrix = numpy.column_stack(columns)
    target = numpy.asarray(values, dtype=float)
    solution, *_ = numpy.linalg.lstsq(matrix, target, rcond=None)
    max_residual = float(numpy.abs(matrix @ solution - target).max())
    constant, *slopes = (float(each) for each in solution)
    return Fit(constant, tuple(slopes), max_residual, len(values))
