"""Least-squares fits of what was measured at several sizes."""

import collections.abc
import dataclasses

import numpy


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement: ``value`` at ``size``."""

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line through points, and how far they lie from it.

    ``spread`` is the standard error of the slope, ``r2`` the share of the
    variance that the line explains.
    """

    slope: float
    base: float
    spread: float
    r2: float

    def at(self, size: float) -> float:
        """Return the value that the line has at a size."""
        return self.base + self.slope * size


def line(points: collections.abc.Sequence[Point]) -> Fit:
    """Return the least-squares line; raises ValueError below 3 points."""
    if len(points) < 3:
        raise ValueError('a line and its spread need three points')
    sizes = numpy.array([point.size for point in points], dtype=float)
    values = numpy.array([point.value for point in points], dtype=float)
    slope, base = numpy.polyfit(sizes, values, 1)
    left = values - (base + slope * sizes)
    variance = float(left @ left) / (len(points) - 2)
    centred = sizes - sizes.mean()
    spread = (variance / float(centred @ centred)) ** 0.5
    around = values - values.mean()
    total = float(around @ around)
    r2 = 1 - float(left @ left) / total if total else 1.0
    return Fit(float(slope), float(base), float(spread), r2)
