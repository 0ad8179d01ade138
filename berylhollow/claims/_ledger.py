"""The state of every claimed key, built from a claims stream."""

import collections
import dataclasses

from berylhollow.claims import _records
from berylhollow import messages


@dataclasses.dataclass(slots=True)
class Holding:
    """The claim that holds a key, and its outcome once it is settled."""

    claim_id: str
    fingerprint: bytes
    claimed_ms: int
    lifetime_ms: int
    outcome: _records.Outcome | None = None
    answer: _records.StoredAnswer | None = None


@dataclasses.dataclass(slots=True)
class Ledger:
    """Maps each key to the claim that holds it, for one partition.

    Records are applied in order, and time is taken from them (``at_ms``), so
    every process that reads the same records has the same ledger. A claim
    holds its key for ``window_ms``. The window must be shorter than the log's
    retention, so that no claim in force is missing from the log.

    ``voided`` has the claims that ended as NOT_RUN, with the time; ``order``
    has the granted claims as time, key and claim id, oldest first.
    """

    window_ms: int
    next_offset: int = 0
    holdings: dict[bytes, Holding] = dataclasses.field(default_factory=dict)
    voided: dict[str, int] = dataclasses.field(default_factory=dict)
    order: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def apply(self, entry: messages.LogEntry) -> list[_records.Entry]:
        """Apply the next record; return its entries.

        Records that were already applied are skipped. So are records that
        are not a batch of claims, since no key can be won by them.
        """
        if entry.offset < self.next_offset:
            return []
        self.next_offset = entry.offset + 1
        self._expire(entry.at_ms)
        try:
            entries = _records.decode(entry.data)
        except _records.RecordError:
            return []
        for item in entries:
            if isinstance(item, _records.Claim):
                self._apply_claim(item, entry.at_ms)
            else:
                self._apply_settled(item, entry.at_ms)
        return entries

    def _apply_claim(self, claim: _records.Claim, at_ms: int) -> None:
        """Grant a free key to its first claim in the log's order.

        Keeps two gateways from running the same key: both append a claim and
        both read the same order, so exactly one of them is first.
        """
        if claim.claim_id in self.voided or claim.key in self.holdings:
            return
        self.holdings[claim.key] = Holding(
            claim.claim_id, claim.fingerprint, at_ms, claim.lifetime_ms
        )
        self.order.append((at_ms, claim.key, claim.claim_id))

    def _apply_settled(self, settled: _records.Settled, at_ms: int) -> None:
        """Record the outcome of a claim; NOT_RUN frees its key.

        A claim whose append was delayed may come after its own NOT_RUN. Its
        id is kept in ``voided``, or it would hold the key and never be
        settled.
        """
        holding = self.holdings.get(settled.key)
        owns = holding is not None and holding.claim_id == settled.claim_id
        if settled.outcome is _records.Outcome.NOT_RUN:
            self.voided[settled.claim_id] = at_ms
            if owns and holding.outcome is None:
                del self.holdings[settled.key]
            return
        if owns and holding.outcome is not _records.Outcome.RAN:
            holding.outcome = settled.outcome
            holding.answer = settled.answer

    def _expire(self, at_ms: int) -> None:
        """Drop the claims and voided ids that are older than the window."""
        oldest_ms = at_ms - self.window_ms
        while self.order and self.order[0][0] < oldest_ms:
            _, key, claim_id = self.order.popleft()
            holding = self.holdings.get(key)
            if holding is not None and holding.claim_id == claim_id:
                del self.holdings[key]
        while self.voided:
            claim_id = next(iter(self.voided))
            if self.voided[claim_id] >= oldest_ms:
                break
            del self.voided[claim_id]
