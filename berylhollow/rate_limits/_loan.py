"""What one gateway may send to an endpoint that has named a limit."""

import dataclasses
import math

from berylhollow import clock
from berylhollow.rate_limits import _bounds

ANSWER_MS = 250
"""How long a lender's answer is waited for."""

MISSED_MS = 1000
"""For how long a request that found no room is a reason to ask for some."""

LEAST_WAIT_MS = 200
"""Before a refused caller comes back where a lender has not answered."""

SWITCH_MS = 1500
"""Before another lender is asked after one was lost: what the first lent has
ended by then, and a link that only broke is open again."""


@dataclasses.dataclass(slots=True)
class Loan:
    """Requests that were lent to this gateway; a pure machine.

    ``lender`` is the peer that is asked, chosen among ``candidates``. It is
    empty without one: ``lost`` was, until ``lost_ms``.
    ``asked_ms`` is when it was asked for what it has not answered yet, None if
    nothing is asked. There is no more before ``room_ms``. ``missed`` counts
    the requests that found no room since it was last asked.
    """

    lender: str = ''
    candidates: tuple[str, ...] = ()
    lost: str = ''
    lost_ms: int = clock.NEVER_MS
    count: int = 0
    until_ms: int = clock.NEVER_MS
    asked_ms: int | None = None
    room_ms: int = clock.NEVER_MS
    missed: int = 0
    missed_ms: int = clock.NEVER_MS
    own_level: float = 0.0
    own_ms: int | None = None

    def room(self, at_ms: int) -> int:
        """Return how many requests may be sent now."""
        lent = self.count if at_ms < self.until_ms else 0
        return lent + int(self.own_level)

    def spend(self, at_ms: int) -> None:
        """Count a request that is sent."""
        if self.count and at_ms < self.until_ms:
            self.count -= 1
        else:
            self.own_level = max(0.0, self.own_level - 1)

    def miss(self, at_ms: int) -> None:
        """Count a request that found no room."""
        self.missed += 1
        self.missed_ms = at_ms

    def choose(self, lender: str, at_ms: int) -> bool:
        """Take the lender that is the right one now; tell if it changed."""
        if lender == self.lender:
            return False
        if self.lender and not lender:
            self.lost = self.lender
            self.lost_ms = at_ms
        elif lender != self.lost and at_ms - self.lost_ms < SWITCH_MS:
            return False
        self.lender = lender
        self.asked_ms = None
        self.room_ms = at_ms
        return True

    def due(self, at_ms: int) -> bool:
        """Tell whether the lender is to be asked now."""
        if not self.lender or at_ms < self.room_ms or self.room(at_ms):
            return False
        return not self.is_asked(at_ms) and self.is_missed(at_ms)

    def is_asked(self, at_ms: int) -> bool:
        """Tell whether the lender's answer is still to come."""
        asked_ms = self.asked_ms
        return asked_ms is not None and at_ms - asked_ms < ANSWER_MS

    def is_missed(self, at_ms: int) -> bool:
        """Tell whether requests have found no room of late."""
        return self.missed > 0 and at_ms - self.missed_ms < MISSED_MS

    def ask(self, rate_per_s: float, at_ms: int) -> int:
        """Return how many requests to ask for."""
        most = math.ceil(_bounds.capacity(rate_per_s))
        wanted = min(max(1, self.missed), most)
        self.missed = 0
        self.asked_ms = at_ms
        return wanted

    def lent(self, count: int, wait_ms: int, at_ms: int) -> None:
        """Take the lender's answer; one that comes too late is dropped."""
        if not self.is_asked(at_ms):
            return
        if count:
            self.count = count
            self.until_ms = self.asked_ms + _bounds.LOAN_MS
        self.room_ms = at_ms + wait_ms
        self.asked_ms = None

    def wait_ms(self, at_ms: int) -> int:
        """Return when there may be room, as far as is known."""
        return max(LEAST_WAIT_MS, self.room_ms - at_ms)

    def fill_own(self, rate_per_s: float, gateways: int, at_ms: int) -> None:
        """Save up an equal part of the rate while there is no lender.

        Only where all gateways may do so at once.
        """
        before_ms, self.own_ms = self.own_ms, at_ms
        apart = gateways <= _bounds.most_apart(rate_per_s)
        if self.lender or not apart:
            self.own_level = 0.0
            self.own_ms = None
            return
        if before_ms is None or at_ms - self.lost_ms < SWITCH_MS:
            return
        rate = _bounds.effective(rate_per_s) / max(1, gateways)
        gained = rate * (at_ms - before_ms) / clock.MS_PER_SECOND
        self.own_level = min(1.0, self.own_level + gained)
        self.room_ms = at_ms + int(
            (1 - self.own_level) / rate * clock.MS_PER_SECOND
        )
