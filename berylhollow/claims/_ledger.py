"""The state of every key: a fold over a claims stream."""

import collections
import dataclasses

from berylhollow.claims import _records
from berylhollow import messages


@dataclasses.dataclass(slots=True)
class Holding:
    """The claim that holds a key; without an outcome it is unsettled."""

    claim_id: str
    fingerprint: bytes
    claimed_ms: int
    lifetime_ms: int
    outcome: _records.Outcome | None = None
    answer: _records.StoredAnswer | None = None


@dataclasses.dataclass(slots=True)
class Ledger:
    """Who holds which key, read from one partition's stream in order.

    Every process that reads the same records has the same ledger: time is
    the log's own (``at_ms`` of the records). A key is held for
    ``window_ms`` from its claim, which must be shorter than the log's
    retention, so that a reader of all that is kept misses no claim in force.
    """

    window_ms: int
    next_offset: int = 0
    holdings: dict[bytes, Holding] = dataclasses.field(default_factory=dict)
    voided: dict[str, int] = dataclasses.field(default_factory=dict)
    order: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def apply(self, entry: messages.LogEntry) -> list[_records.Entry]:
        """Take the next record in; return its entries.

        Records already read are passed over. A record that is no batch of
        claims is passed over too: nobody could have won a key by it.
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
                self._claim(item, entry.at_ms)
            else:
                self._settle(item, entry.at_ms)
        return entries

    def _claim(self, claim: _records.Claim, at_ms: int) -> None:
        """Give a free key to its first claim in the log's order.

        Guards against two gateways that run the same key: both append, both
        read the same order, so exactly one of them finds itself first.
        """
        if claim.claim_id in self.voided or claim.key in self.holdings:
            return
        self.holdings[claim.key] = Holding(
            claim.claim_id, claim.fingerprint, at_ms, claim.lifetime_ms
        )
        self.order.append((at_ms, claim.key, claim.claim_id))

    def _settle(self, settled: _records.Settled, at_ms: int) -> None:
        """Note how a claim ended; NOT_RUN frees the key for the next one.

        A claim whose append was late may come after its own NOT_RUN: its id
        is remembered, or it would hold the key with nobody to settle it.
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
        oldest = at_ms - self.window_ms
        while self.order and self.order[0][0] < oldest:
            _, key, claim_id = self.order.popleft()
            holding = self.holdings.get(key)
            if holding is not None and holding.claim_id == claim_id:
                del self.holdings[key]
        while self.voided:
            claim_id = next(iter(self.voided))
            if self.voided[claim_id] >= oldest:
                break
            del self.voided[claim_id]
