"""Time in whole milliseconds, from the machine or set by a test."""

import dataclasses
import time
import typing

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000

NEVER_MS = -1_000_000
"""Of something that has not happened yet; long before any process starts."""


class Clock(typing.Protocol):
    """Tell the time that events carry."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary, fixed start."""


class MonotonicClock:
    """The machine's clock since its start, never set back.

    It goes on while the machine is suspended, where it can. Guards against a
    process that takes what it knew before for fresh when it is woken.
    """

    source = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)

    def now_ms(self) -> int:
        return time.clock_gettime_ns(self.source) // NS_PER_MS


@dataclasses.dataclass
class VirtualClock:
    """A clock that moves only when it is told to."""

    time_ms: int = 0

    def now_ms(self) -> int:
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        """Move forward; a negative duration raises ``ValueError``."""
        if duration_ms < 0:
            raise ValueError('a clock does not go back')
        self.time_ms += duration_ms
