"""How long ago the keys in force were known to be the newest ones."""

import dataclasses

from berylhollow import clock

CHECK_SHARE = 0.4
"""Of the bound: how old a proof grows before the keys are read for a new one.
The rest is for a read that fails and those that follow it."""

MARGIN_SHARE = 0.05
"""Of the bound: left for clocks that do not go alike."""

RETRY_MS = 250
"""Pause after a check that failed."""

LOST_CHECK_MS = 1500
"""A check of which nothing was heard for so long is begun again."""

REWRITE_MS = 2300
"""How long after the log came back from an older copy it may lack what was
written there before: its writers have written it again by then."""


@dataclasses.dataclass(slots=True)
class KeyProof:
    """The newest read that shows which keys are in force; a pure machine.

    A revocation that was confirmed before a read began is seen by it, so a
    proof is as old as the beginning of its read. ``bound_ms`` is how long
    after its revocation a key may still be used, 0 if no bound is set.
    While the log may lack a newer configuration no read is a proof: until
    one is written from ``old_end`` on, where the log ended as it was first
    read again, or a read begins at ``rewritten_ms``.
    """

    bound_ms: int = 0
    proven_ms: int = clock.NEVER_MS
    checking_ms: int | None = None
    retry_at_ms: int = 0
    rewritten_ms: int | None = None
    old_end: int | None = None

    def read(self, begun_ms: int) -> None:
        """A read that was begun then has shown all that the log holds."""
        if self.rewritten_ms is not None:
            if begun_ms < self.rewritten_ms:
                return
            self.rewritten_ms = None
        self.proven_ms = max(self.proven_ms, begun_ms)

    def log_came_back(self, at_ms: int) -> None:
        """The log may lack what was written last."""
        self.rewritten_ms = at_ms + REWRITE_MS
        self.old_end = None

    def ends_at(self, next_offset: int) -> None:
        """The log has been read up to an offset."""
        if self.old_end is None:
            self.old_end = next_offset

    def written(self, offset: int) -> None:
        """The operators have written a configuration."""
        if self.old_end is not None and offset >= self.old_end:
            self.rewritten_ms = None

    def age_ms(self, at_ms: int) -> int:
        """Return how old the proof is."""
        return at_ms - self.proven_ms

    def holds(self, at_ms: int) -> bool:
        """Tell whether a request with a key may be sent on now."""
        if not self.bound_ms:
            return True
        return self.age_ms(at_ms) < self.bound_ms * (1 - MARGIN_SHARE)

    def due(self, at_ms: int) -> bool:
        """Tell whether to read for a new proof now."""
        if not self.bound_ms or at_ms < self.retry_at_ms:
            return False
        if self.checking_ms is not None:
            return at_ms - self.checking_ms >= LOST_CHECK_MS
        return self.age_ms(at_ms) >= self.bound_ms * CHECK_SHARE

    def checks(self, at_ms: int) -> None:
        """A read for a new proof begins."""
        self.checking_ms = at_ms

    def checked(self, at_ms: int, succeeded: bool) -> None:
        """The read for a new proof has ended."""
        self.checking_ms = None
        if not succeeded:
            self.retry_at_ms = at_ms + RETRY_MS
