"""Error budgets and burn rates over several windows.

A burn rate of 1 uses the whole budget up in exactly the period of the
objective. An alert asks for a long window, so that a blip does not page, and
a short one, so that it ends soon after the fault does.
"""

import bisect
import dataclasses

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
PERIOD_MS = 28 * DAY_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A pair of windows, and the burn rate at which both raise an alert."""

    name: str
    long_ms: int
    short_ms: int
    threshold: float
    severity: str


# 2, 5, 10 and 10 per cent of a 28-day budget within the long window.
WINDOWS = (
    Window('1h', HOUR_MS, 5 * MINUTE_MS, 13.44, 'page'),
    Window('6h', 6 * HOUR_MS, 30 * MINUTE_MS, 5.6, 'page'),
    Window('1d', DAY_MS, 2 * HOUR_MS, 2.8, 'ticket'),
    Window('3d', 3 * DAY_MS, 6 * HOUR_MS, 0.93, 'ticket'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn of one pair of windows at the end of the records.

    ``covered`` tells whether the records reach over the whole long window.
    """

    window: Window
    long_rate: float
    short_rate: float
    alert: bool
    covered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Burn:
    """What one objective has used of its budget."""

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
        """The share of these answers' budget that is left, below 0 if over.

        It is the budget of the answers in the records; a period of 28 days
        is judged only by records of 28 days.
        """
        if not self.total:
            return 1.0
        return 1 - self.bad_share / self.budget


class Judged:
    """Moments and verdicts of one objective, for sums over any window."""

    def __init__(self, verdicts: list[tuple[int, bool]]):
        self.moments = [at_ms for at_ms, _ in verdicts]
        self.bad_before = [0]
        for _, good in verdicts:
            self.bad_before.append(self.bad_before[-1] + (not good))

    def counts(self, from_ms: int, to_ms: int) -> tuple[int, int]:
        """Return how many answers and how many bad ones lie in a window."""
        first = bisect.bisect_left(self.moments, from_ms)
        last = bisect.bisect_right(self.moments, to_ms)
        bad = self.bad_before[last] - self.bad_before[first]
        return last - first, bad

    def rate(self, from_ms: int, to_ms: int, budget: float) -> float:
        """Return the burn rate within a window, 0 without answers."""
        total, bad = self.counts(from_ms, to_ms)
        return bad / total / budget if total else 0.0


def burn(
    verdicts: list[tuple[int, bool]],
    budget: float,
    start_ms: int,
    end_ms: int,
) -> Burn:
    """Return the burn of an objective over records from start to end."""
    judged = Judged(verdicts)
    total, bad = judged.counts(start_ms, end_ms)
    windows = tuple(
        _window_burn(judged, window, budget, start_ms, end_ms)
        for window in WINDOWS
    )
    return Burn(total - bad, bad, budget, windows)


def _window_burn(
    judged: Judged, window: Window, budget: float, start_ms: int, end_ms: int
) -> WindowBurn:
    long_rate = judged.rate(end_ms - window.long_ms, end_ms, budget)
    short_rate = judged.rate(end_ms - window.short_ms, end_ms, budget)
    alert = min(long_rate, short_rate) >= window.threshold
    covered = end_ms - start_ms >= window.long_ms
    return WindowBurn(window, long_rate, short_rate, alert, covered)
