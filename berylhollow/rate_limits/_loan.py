"""The requests that one gateway may send to an endpoint with a rate limit."""

import dataclasses
import math

from berylhollow import clock
from berylhollow.rate_limits import _bounds

ANSWER_MS = 250
"""How long to wait for a lender's answer."""

MISSED_MS = 1000
"""How long a request that could not be sent is a reason to ask the lender."""

MIN_WAIT_MS = 200
"""Shortest wait of a refused caller, also if no lender has answered."""

SWITCH_MS = 1500
"""Delay before another lender is asked after one was lost. By then what the
first one lent has expired, and a link that was only interrupted is open
again."""


@dataclasses.dataclass(slots=True)
class Loan:
    """Requests to one endpoint that are lent to this gateway; does no I/O.

    ``lender`` is the peer that is asked, chosen among ``candidates``, and
    empty if there is none. ``lost_lender`` is the previous one, whose link
    was lost at ``lost_ms``.

    ``lent_count`` requests may be sent until ``expires_ms``. ``asked_ms`` is
    the time of a question that the lender has not answered yet, else None; it
    is not asked before ``retry_ms``. ``missed_count`` is the number of
    requests that could not be sent since it was last asked, ``missed_ms`` the
    time of the latest one.

    Without a lender, ``own_level`` is the level of the gateway's own token
    bucket, last filled at ``own_filled_ms``.
    """

    lender: str = ''
    candidates: tuple[str, ...] = ()
    lost_lender: str = ''
    lost_ms: int = clock.NEVER_MS
    lent_count: int = 0
    expires_ms: int = clock.NEVER_MS
    asked_ms: int | None = None
    retry_ms: int = clock.NEVER_MS
    missed_count: int = 0
    missed_ms: int = clock.NEVER_MS
    own_level: float = 0.0
    own_filled_ms: int | None = None

    def room(self, at_ms: int) -> int:
        """Return how many requests may be sent now."""
        lent = self.lent_count if at_ms < self.expires_ms else 0
        return lent + int(self.own_level)

    def spend(self, at_ms: int) -> None:
        """Count a request that is sent."""
        if self.lent_count and at_ms < self.expires_ms:
            self.lent_count -= 1
        else:
            self.own_level = max(0.0, self.own_level - 1)

    def record_miss(self, at_ms: int) -> None:
        """Count a request that could not be sent for lack of room."""
        self.missed_count += 1
        self.missed_ms = at_ms

    def set_lender(self, lender: str, at_ms: int) -> bool:
        """Set the lender and tell whether it changed.

        After a lender was lost, another one is taken only after
        ``SWITCH_MS``; the same one is taken back at once.
        """
        if lender == self.lender:
            return False
        if self.lender and not lender:
            self.lost_lender = self.lender
            self.lost_ms = at_ms
        elif lender != self.lost_lender and at_ms - self.lost_ms < SWITCH_MS:
            return False
        self.lender = lender
        self.asked_ms = None
        self.retry_ms = at_ms
        return True

    def should_ask(self, at_ms: int) -> bool:
        """Tell whether the lender should be asked now."""
        if not self.lender or at_ms < self.retry_ms or self.room(at_ms):
            return False
        return not self.is_awaiting_answer(at_ms) and self.has_recent_miss(
            at_ms
        )

    def is_awaiting_answer(self, at_ms: int) -> bool:
        """Tell whether the lender's answer may still arrive."""
        asked_ms = self.asked_ms
        return asked_ms is not None and at_ms - asked_ms < ANSWER_MS

    def has_recent_miss(self, at_ms: int) -> bool:
        """Tell whether requests could not be sent recently."""
        return self.missed_count > 0 and at_ms - self.missed_ms < MISSED_MS

    def begin_asking(self, rate_per_s: float, at_ms: int) -> int:
        """Return how many requests to ask for, and note that it is asked."""
        limit = math.ceil(_bounds.capacity(rate_per_s))
        wanted = min(max(1, self.missed_count), limit)
        self.missed_count = 0
        self.asked_ms = at_ms
        return wanted

    def take_answer(self, count: int, wait_ms: int, at_ms: int) -> None:
        """Take the lender's answer; one that arrives too late is dropped."""
        if not self.is_awaiting_answer(at_ms):
            return
        if count:
            self.lent_count = count
            self.expires_ms = self.asked_ms + _bounds.LOAN_MS
        self.retry_ms = at_ms + wait_ms
        self.asked_ms = None

    def wait_ms(self, at_ms: int) -> int:
        """Return the estimated time until a request may be sent."""
        return max(MIN_WAIT_MS, self.retry_ms - at_ms)

    def fill_own_bucket(
        self, rate_per_s: float, gateways: int, at_ms: int
    ) -> None:
        """Fill the own bucket with an equal part of the rate.

        Only while there is no lender, and only if there are so few gateways
        that all of them may do so at once.
        """
        before_ms, self.own_filled_ms = self.own_filled_ms, at_ms
        may_fill = gateways <= _bounds.max_gateways_without_lender(rate_per_s)
        if self.lender or not may_fill:
            self.own_level = 0.0
            self.own_filled_ms = None
            return
        if before_ms is None or at_ms - self.lost_ms < SWITCH_MS:
            return
        rate = _bounds.effective_rate(rate_per_s) / max(1, gateways)
        gained = rate * (at_ms - before_ms) / clock.MS_PER_SECOND
        self.own_level = min(1.0, self.own_level + gained)
        self.retry_ms = at_ms + int(
            (1 - self.own_level) / rate * clock.MS_PER_SECOND
        )
