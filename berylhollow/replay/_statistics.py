"""Figures of a replay: distributions, and fairness over callers."""

import collections.abc
import dataclasses

from hdrh import histogram

LARGEST_MS = 3_600_000
SIGNIFICANT_FIGURES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Distribution:
    """Milliseconds over requests; the total is exact, the rest HDR."""

    total_ms: int
    mean_ms: float
    p50_ms: int
    p95_ms: int
    p99_ms: int
    max_ms: int


def distribution(values: collections.abc.Iterable[int]) -> Distribution:
    """Return the figures of some durations, all 0 if there are none."""
    counted = histogram.HdrHistogram(1, LARGEST_MS, SIGNIFICANT_FIGURES)
    total = 0
    longest = 0
    for value in values:
        total += value
        longest = max(longest, value)
        counted.record_value(min(value, LARGEST_MS))
    count = counted.get_total_count()
    return Distribution(
        total,
        round(total / count, 1) if count else 0.0,
        counted.get_value_at_percentile(50),
        counted.get_value_at_percentile(95),
        counted.get_value_at_percentile(99),
        longest,
    )


def jain_fairness(shares: collections.abc.Sequence[float]) -> float:
    """Return Jain's index: 1 if all have the same, 1/n if one has all.

    Nothing to share counts as fair.
    """
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)
