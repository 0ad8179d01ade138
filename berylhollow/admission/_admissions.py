"""Decides which waiting requests an endpoint may read now."""

import dataclasses

from berylhollow.admission import _budget
from berylhollow.admission import _pace
from berylhollow.admission import _queue
from berylhollow.admission import _shares
from berylhollow import messages

MAX_WAITING = 2048

BEGIN_MARGIN_MS = 100
"""Subtracted from the time that a request has left for its first event. In an
overload all grants would otherwise go to requests that miss their objective by
the time of the links and of a slow step."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request that may be sent now.

    ``tokens`` is the size of its prompt, ``batch_tokens`` of its batch so far
    and ``budget_tokens`` the limit of the batch.
    """

    gateway: str
    request_id: str
    waited_ms: int
    tokens: int = 0
    batch_tokens: int = 0
    budget_tokens: int = 0


class Admissions:
    """The admission of prompts at one endpoint; does no I/O."""

    def __init__(self):
        self.pace = _pace.ReadingPace()
        self.budget = _budget.ReadingBudget()
        self.shares = _shares.WorkspaceShares()
        self.queue = _queue.AdmissionQueue(self.shares.excess_ms)
        self.keys_by_gateway: dict[str, set[_queue.RequestKey]] = {}
        self.at_ms = 0
        self.expired = 0

    @property
    def token_ms(self) -> float:
        """The time to read one prompt token."""
        return self.pace.token_ms

    @property
    def measured_token_ms(self) -> float:
        """The time to read one prompt token, 0 before it was measured."""
        return self.pace.token_ms if self.pace.is_measured else 0.0

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self.queue)

    def read_share(self, at_ms: int) -> float:
        """Return the share of the last two seconds spent reading, 0 to 1."""
        return self.pace.read_share(at_ms)

    def queued_wait_ms(self, gateway: str, request_id: str) -> int | None:
        """Return the expected wait of a request, None if it isn't queued."""
        key = _queue.RequestKey(gateway, request_id)
        request = self.queue.requests.get(key)
        if request is None:
            return None
        return self.wait_ms(request.tokens, request.is_late)

    def wait_ms(self, tokens: int, is_late: bool = False) -> int:
        """Return the expected wait of a request that was queued last.

        Others that wait are expected to go first, but of those that can't be
        in time only their share of the grants before one that can.
        """
        queue = self.queue
        ahead = queue.timely_tokens + queue.late_tokens - tokens
        if not is_late:
            timely = queue.timely_tokens - tokens
            ahead = min(ahead, timely * (1 + _queue.LATE_GRANT_SHARE))
        ahead = max(0, ahead)
        token_ms = self.token_ms
        budget = self.budget
        if not ahead and budget.has_room(tokens, token_ms, self.at_ms):
            return 0
        batches = ahead / max(1, tokens, budget.limit_tokens(token_ms))
        wait_ms = budget.remaining_ms(token_ms, self.at_ms)
        return int(wait_ms + ahead * token_ms + batches * budget.quiet_ms)

    def want(
        self, gateway: str, wanted: messages.AdmissionWanted, at_ms: int
    ) -> list[Grant]:
        """Queue a request, unless there is no place for it.

        A request that was granted before and has not begun is granted again.
        """
        self.budget.set_terms(wanted.event_gap_ms, wanted.event_steps)
        key = _queue.RequestKey(gateway, wanted.request_id)
        tokens = max(0, wanted.tokens)
        if self.budget.renew(key, at_ms):
            again = Grant(gateway, wanted.request_id, 0, tokens)
            return [again, *self.advance(at_ms)]
        known = key in self.queue.requests
        if not known and len(self.queue) >= MAX_WAITING:
            return self.advance(at_ms)
        self.shares.touch(wanted.workspace, at_ms)
        self.queue.add(
            key,
            tokens,
            wanted.workspace,
            wanted.objective_ms,
            tokens * self.token_ms + BEGIN_MARGIN_MS,
            wanted.priority,
            at_ms,
        )
        self.keys_by_gateway.setdefault(gateway, set()).add(key)
        return self.advance(at_ms)

    def end(
        self, gateway: str, request_id: str, begun: bool, at_ms: int
    ) -> list[Grant]:
        """Note that a request's first event came, or that it has ended."""
        key = _queue.RequestKey(gateway, request_id)
        if self.queue.remove(key):
            self._forget_key(key)
        read = self.budget.end(key, begun, at_ms)
        if read is not None:
            self.pace.record_batch(read.tokens, read.reading_ms)
        return self.advance(at_ms)

    def record_gap(self, longest_gap_ms: int, at_ms: int) -> None:
        """Note the longest gap in answers that a gateway has seen lately."""
        allowed_ms = self.budget.event_gap_ms
        self.budget.gaps.record(longest_gap_ms, allowed_ms, at_ms)

    def drop_gateway(self, gateway: str, at_ms: int) -> list[Grant]:
        """Drop the waiting requests of a gateway whose link closed.

        Those granted go on counting: the endpoint may be reading them.
        """
        for key in self.keys_by_gateway.pop(gateway, ()):
            self.queue.remove(key)
        return self.advance(at_ms)

    def take_expired(self) -> int:
        """Return how many grants expired since the last call."""
        expired, self.expired = self.expired, 0
        return expired

    def reset(self, at_ms: int) -> list[Grant]:
        """Forget what was granted: the endpoint has restarted."""
        self.budget.reset()
        return self.advance(at_ms)

    def advance(self, at_ms: int) -> list[Grant]:
        """Grant what may be read now, after the time has passed."""
        self.at_ms = at_ms
        self.expired += self.budget.expire(at_ms)
        if not self.budget.granted:
            self.pace.end_reading(at_ms)
        grants = []
        while request := self.queue.first(at_ms, self._begin_ms(at_ms)):
            if not self.budget.has_room(request.tokens, self.token_ms, at_ms):
                self.budget.gaps.note_limited()
                break
            grants.append(self._grant(request, at_ms))
        return grants

    def _begin_ms(self, at_ms: int) -> int:
        """Return when the reading of the next prompt is expected to begin."""
        return at_ms + int(self.budget.remaining_ms(self.token_ms, at_ms))

    def _grant(self, request: _queue.WaitingRequest, at_ms: int) -> Grant:
        self.queue.take(request)
        self._forget_key(request.key)
        self.budget.grant(request.key, request.tokens, self.token_ms, at_ms)
        self.pace.begin_reading(at_ms)
        self.shares.grant(
            request.workspace, request.tokens * self.token_ms, at_ms
        )
        return Grant(
            request.key.gateway,
            request.key.request_id,
            at_ms - request.arrived_ms,
            request.tokens,
            self.budget.batch_tokens,
            self.budget.limit_tokens(self.token_ms),
        )

    def _forget_key(self, key: _queue.RequestKey) -> None:
        keys = self.keys_by_gateway[key.gateway]
        keys.discard(key)
        if not keys:
            del self.keys_by_gateway[key.gateway]
