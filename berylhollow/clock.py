"""Clocks in whole milliseconds: the machine's, and one set by tests."""

import dataclasses
import time
import typing

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000

NEVER_MS = -1_000_000
"""The time of an event that has not happened: before any process start."""


class Clock(typing.Protocol):
    """The source of the time that events carry."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary but fixed point in time."""


class MonotonicClock:
    """The machine's monotonic clock, counted from its boot.

    Where the system allows it, the clock includes time in suspend. Otherwise
    a process would take data from before the suspend for fresh on resume.
    """

    source = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)

    def now_ms(self) -> int:
        return time.clock_gettime_ns(self.source) // NS_PER_MS


@dataclasses.dataclass
class VirtualClock:
    """A clock that moves only when ``advance`` is called."""

    time_ms: int = 0

    def now_ms(self) -> int:
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward; a negative duration raises ValueError."""
        if duration_ms < 0:
            raise ValueError('a clock can not be set back')
        self.time_ms += duration_ms
