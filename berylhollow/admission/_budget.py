"""How many prompt tokens an endpoint may read without a pause."""

import dataclasses

from berylhollow.admission import _gap_control
from berylhollow.admission import _queue
from berylhollow import clock

STEP_MS = 8
"""Time of an engine's step in which it reads no prompt."""

GAP_SHARE = 0.8
"""Share of the allowed gap that is used; the rest is a margin for links and
for an endpoint that is slower for a moment."""

FIRST_EVENT_MS = 10
"""From the end of a prompt's reading until its first event is reported: the
step that generates the first token, and the links."""

MIN_EXPIRY_MS = 600
MAX_EXPIRY_MS = 3000
EXPIRY_FACTOR = 4
"""A granted request that neither begins nor ends stops counting after
``MIN_EXPIRY_MS`` and this multiple of the expected time of its batch. One that
hangs at a failing endpoint would otherwise hold back all others; endpoints are
up to 3.5 times slower for a while."""


@dataclasses.dataclass(slots=True)
class _GrantedRequest:
    tokens: int
    granted_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """A batch whose requests have all begun; ``reading_ms`` without quiet."""

    tokens: int
    reading_ms: float


class ReadingBudget:
    """The batch of prompts that an endpoint reads, and its limit.

    A batch is what is granted without a pause in reading. It ends when all of
    its requests have begun or ended. The next one waits for the other steps of
    an event, so that each answer that is being generated gets an event between
    the two. ``granted`` holds the requests that have not begun, the oldest
    grant first. A batch of which a request ended without having
    begun is not measured, since its prompt may not have been read.
    """

    def __init__(self):
        self.event_gap_ms = 0
        self.event_steps = 0
        self.granted: dict[_queue.RequestKey, _GrantedRequest] = {}
        self.batch_tokens = 0
        self.batch_begun_ms = 0
        self.batch_ended_ms = clock.NEVER_MS
        self.expiry_ms = float(MAX_EXPIRY_MS)
        self.is_measurable = True
        self.gaps = _gap_control.GapControl()

    def set_terms(self, event_gap_ms: int, event_steps: int) -> None:
        """Set the longest allowed gap, and how many steps an event takes."""
        self.event_gap_ms = max(0, event_gap_ms)
        self.event_steps = max(0, event_steps)

    @property
    def quiet_ms(self) -> int:
        """The time of an event's steps in which no prompt is read."""
        return self.event_steps * STEP_MS

    def limit_tokens(self, token_ms: float) -> int:
        """Return how many tokens a batch may have at a pace."""
        reading_ms = GAP_SHARE * self.event_gap_ms - self.quiet_ms
        return max(0, int(self.gaps.factor * reading_ms / token_ms))

    def has_room(self, tokens: int, token_ms: float, at_ms: int) -> bool:
        """Tell whether a prompt may be added to the batch.

        The first one of a batch may whatever its size, or else a prompt above
        the limit would never be read. The step of the last first event is
        already one of those between two batches.
        """
        if not self.granted:
            return at_ms >= self.batch_ended_ms + self.quiet_ms - STEP_MS
        return self.batch_tokens + tokens <= self.limit_tokens(token_ms)

    def remaining_ms(self, token_ms: float, at_ms: int) -> float:
        """Return the expected time until the batch ends, 0 without one."""
        if not self.granted:
            return 0.0
        whole_ms = self.batch_tokens * token_ms + self.quiet_ms
        return max(0.0, self.batch_begun_ms + whole_ms - at_ms)

    def grant(
        self,
        key: _queue.RequestKey,
        tokens: int,
        token_ms: float,
        at_ms: int,
    ) -> None:
        """Add a request to the batch, or begin one with it."""
        if not self.granted:
            self.batch_tokens = 0
            self.batch_begun_ms = at_ms
            self.is_measurable = True
        self.batch_tokens += tokens
        expected_ms = self.batch_tokens * token_ms
        self.expiry_ms = min(
            MAX_EXPIRY_MS, MIN_EXPIRY_MS + EXPIRY_FACTOR * expected_ms
        )
        self.granted[key] = _GrantedRequest(tokens, at_ms)

    def renew(self, key: _queue.RequestKey, at_ms: int) -> bool:
        """Renew the grant of a request; tell whether it had one.

        Its gateway asks again if the first grant was lost.
        """
        granted = self.granted.pop(key, None)
        if granted is None:
            return False
        self.granted[key] = _GrantedRequest(granted.tokens, at_ms)
        self.is_measurable = False
        return True

    def end(
        self, key: _queue.RequestKey, begun: bool, at_ms: int
    ) -> ReadBatch | None:
        """Remove a request that began or ended; return a batch to measure."""
        if self.granted.pop(key, None) is None:
            return None
        if not begun:
            self.is_measurable = False
        if self.granted:
            return None
        self.batch_ended_ms = at_ms
        if not self.is_measurable:
            return None
        reading_ms = at_ms - self.batch_begun_ms - FIRST_EVENT_MS
        return ReadBatch(self.batch_tokens, reading_ms)

    def expire(self, at_ms: int) -> int:
        """Remove requests granted too long ago; return how many."""
        expired = 0
        while self.granted:
            key, oldest = next(iter(self.granted.items()))
            if at_ms - oldest.granted_ms < self.expiry_ms:
                break
            del self.granted[key]
            self.is_measurable = False
            expired += 1
        return expired

    def reset(self) -> None:
        """Forget the batch: the endpoint restarted and reads nothing."""
        self.granted.clear()
        self.batch_tokens = 0
        self.batch_ended_ms = clock.NEVER_MS
