"""The kinds of faults, and switches with the time span of each."""

import enum
import math


class PlatformFault(enum.StrEnum):
    """Faults of the platform: log, instance list and weight store.

    APPEND_ANSWER_LOST lets appends take effect but loses their responses;
    LOAD_FAILS fails loads that end while it is on; LOAD_HANGS stops the
    progress of loads that begin while it is on.
    """

    LOG_DOWN = 'log_down'
    LOG_SLOW = 'log_slow'
    APPEND_ANSWER_LOST = 'append_answer_lost'
    WEIGHTS_SLOW = 'weights_slow'
    WEIGHTS_DOWN = 'weights_down'
    LOAD_FAILS = 'load_fails'
    LOAD_HANGS = 'load_hangs'
    INSTANCES_FROZEN = 'instances_frozen'


class EngineFault(enum.StrEnum):
    """Faults of a model engine.

    CRASH and RESTART are single events: CRASH keeps the engine down for its
    restart time, RESTART restarts it empty at once. LOAD_ANSWER_LOST lets a
    load take effect and resets the connection before the response.
    """

    CRASH = 'crash'
    RESTART = 'restart'
    HANG = 'hang'
    SLOW = 'slow'
    STATUS_STALE = 'status_stale'
    LOAD_FAILS = 'load_fails'
    LOAD_ANSWER_LOST = 'load_answer_lost'


class ServiceFault(enum.StrEnum):
    """Faults of a plain service.

    RESET_BEFORE_RUN resets the connection before the call runs,
    RESET_AFTER_RUN after it has run and before the response.
    """

    CRASH = 'crash'
    SLOW = 'slow'
    HANG = 'hang'
    RESET_BEFORE_RUN = 'reset_before_run'
    RESET_AFTER_RUN = 'reset_after_run'


class FaultSwitches:
    """Turns faults on for a span of time."""

    def __init__(self):
        self.spans: dict[str, tuple[float, float]] = {}

    def start(
        self, fault: str, now_ms: float, for_ms: float = math.inf
    ) -> None:
        """Turn a fault on; a later start replaces an earlier one."""
        self.spans[fault] = (now_ms, now_ms + for_ms)

    def stop(self, fault: str) -> None:
        """Turn a fault off; one that is not on is ignored."""
        self.spans.pop(fault, None)

    def active(self, fault: str, now_ms: float) -> bool:
        """Return whether the fault is on at this moment."""
        start_ms, end_ms = self.spans.get(fault, (math.inf, math.inf))
        return start_ms <= now_ms < end_ms

    def end_ms(self, fault: str) -> float:
        """Return when the fault ends; infinity if it never does."""
        return self.spans[fault][1]

    def next_end_ms(self, now_ms: float) -> float:
        """Return when the next fault ends; infinity if none does."""
        ends = (end_ms for _, end_ms in self.spans.values())
        return min((end for end in ends if end > now_ms), default=math.inf)
