"""Error budgets and burn rates over several windows.

A burn rate of 1 uses up the whole budget in exactly the period of the
objective. An alert requires a high rate in a long window, so that a short
burst of failures does not page, and in a short window, so that the alert ends
soon after the fault does.
"""

import bisect
import dataclasses

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
PERIOD_MS = 28 * DAY_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A long and a short window with their alert threshold.

    An alert fires while the burn rates of both reach ``threshold``.
    """

    name: str
    long_ms: int
    short_ms: int
    threshold: float
    severity: str


# At its threshold, a burn uses 2, 5, 10 and 10 per cent of a 28-day budget
# within the long window.
WINDOWS = (
    Window('1h', HOUR_MS, 5 * MINUTE_MS, 13.44, 'page'),
    Window('6h', 6 * HOUR_MS, 30 * MINUTE_MS, 5.6, 'page'),
    Window('1d', DAY_MS, 2 * HOUR_MS, 2.8, 'ticket'),
    Window('3d', 3 * DAY_MS, 6 * HOUR_MS, 0.93, 'ticket'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn rates of one pair of windows at the end of the records.

    ``covered`` is true if the records span the whole long window.
    """

    window: Window
    long_rate: float
    short_rate: float
    alert: bool
    covered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Burn:
    """The good and bad answers of an objective, and its burn rates."""

    good: int
    bad: int
    budget: float
    windows: tuple[WindowBurn, ...]

    @property
    def total(self) -> int:
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        return self.bad / self.total if self.total else 0.0

    @property
    def budget_left(self) -> float:
        """The share of the error budget that is left, below 0 if overspent.

        The budget is that of the answers in the records, so only records of
        28 days show the state of the 28-day budget.
        """
        if not self.total:
            return 1.0
        return 1 - self.bad_share / self.budget


class VerdictCounts:
    """Counts the verdicts of one objective in any window of time.

    ``verdicts`` holds pairs of a time and whether the answer was good, in
    order of time.
    """

    def __init__(self, verdicts: list[tuple[int, bool]]):
        self.times_ms = [at_ms for at_ms, _ in verdicts]
        self.bad_before = [0]
        for _, good in verdicts:
            self.bad_before.append(self.bad_before[-1] + (not good))

    def counts(self, from_ms: int, to_ms: int) -> tuple[int, int]:
        """Return the number of answers and of bad answers in a window."""
        first = bisect.bisect_left(self.times_ms, from_ms)
        last = bisect.bisect_right(self.times_ms, to_ms)
        bad = self.bad_before[last] - self.bad_before[first]
        return last - first, bad

    def burn_rate(self, from_ms: int, to_ms: int, budget: float) -> float:
        """Return the burn rate in a window, 0 if it holds no answers."""
        total, bad = self.counts(from_ms, to_ms)
        return bad / total / budget if total else 0.0


def compute_burn(
    verdicts: list[tuple[int, bool]],
    budget: float,
    start_ms: int,
    end_ms: int,
) -> Burn:
    """Return the burn of an objective for records from start to end."""
    verdict_counts = VerdictCounts(verdicts)
    total, bad = verdict_counts.counts(start_ms, end_ms)
    windows = tuple(
        _window_burn(verdict_counts, window, budget, start_ms, end_ms)
        for window in WINDOWS
    )
    return Burn(total - bad, bad, budget, windows)


def _window_burn(
    verdict_counts: VerdictCounts,
    window: Window,
    budget: float,
    start_ms: int,
    end_ms: int,
) -> WindowBurn:
    long_rate = verdict_counts.burn_rate(
        end_ms - window.long_ms, end_ms, budget
    )
    short_rate = verdict_counts.burn_rate(
        end_ms - window.short_ms, end_ms, budget
    )
    alert = min(long_rate, short_rate) >= window.threshold
    covered = end_ms - start_ms >= window.long_ms
    return WindowBurn(window, long_rate, short_rate, alert, covered)
