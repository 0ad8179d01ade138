"""Tracks how recently the keys in force were proven to be current."""

import dataclasses

from berylhollow import clock

CHECK_AGE_FRACTION = 0.4
"""Age of a proof at which the keys are read again, as a fraction of the bound.
The rest leaves time for a read that fails and for its retries."""

CLOCK_MARGIN_FRACTION = 0.05
"""Margin for clocks that run at different rates, a fraction of the bound."""

CHECK_RETRY_MS = 250
"""Pause after a failed check."""

CHECK_TIMEOUT_MS = 1500
"""Time without an answer after which a check is begun again."""

LOG_REWRITE_MS = 2300
"""How long a log restored from an older copy may lack records that it held
before: after that its writers have written them again."""


@dataclasses.dataclass(slots=True)
class KeyProof:
    """Holds when the keys in force were last proven to be current.

    A read sees every revocation that was confirmed before the read began, so
    a proof is as old as the beginning of its read. ``bound_ms`` is how long a
    key may be used after its revocation, 0 for no bound.

    While a restored log may lack a newer configuration, no read is a proof.
    This ends when a configuration is written at or after ``restored_end``,
    the end of the log at the first read after the restore, or with a read
    that begins at ``rewrite_done_ms`` or later.
    """

    bound_ms: int = 0
    proven_ms: int = clock.NEVER_MS
    check_begun_ms: int | None = None
    retry_at_ms: int = 0
    rewrite_done_ms: int | None = None
    restored_end: int | None = None

    def record_read(self, begun_ms: int) -> None:
        """Record a read, begun at ``begun_ms``, of all the log's records."""
        if self.rewrite_done_ms is not None:
            if begun_ms < self.rewrite_done_ms:
                return
            self.rewrite_done_ms = None
        self.proven_ms = max(self.proven_ms, begun_ms)

    def record_log_restore(self, at_ms: int) -> None:
        """Record that the log was restored and may lack recent records."""
        self.rewrite_done_ms = at_ms + LOG_REWRITE_MS
        self.restored_end = None

    def record_log_end(self, next_offset: int) -> None:
        """Record the end of the log if this is the first read of it."""
        if self.restored_end is None:
            self.restored_end = next_offset

    def record_configuration(self, offset: int) -> None:
        """Record that the operators wrote a configuration at an offset."""
        if self.restored_end is not None and offset >= self.restored_end:
            self.rewrite_done_ms = None

    def age_ms(self, at_ms: int) -> int:
        """Return the age of the proof."""
        return at_ms - self.proven_ms

    def is_valid(self, at_ms: int) -> bool:
        """Return whether requests with a key may be forwarded now."""
        if not self.bound_ms:
            return True
        return self.age_ms(at_ms) < self.bound_ms * (1 - CLOCK_MARGIN_FRACTION)

    def is_check_due(self, at_ms: int) -> bool:
        """Return whether a read for a new proof should begin now."""
        if not self.bound_ms or not self.may_check(at_ms):
            return False
        if self.check_begun_ms is not None:
            return True
        return self.age_ms(at_ms) >= self.bound_ms * CHECK_AGE_FRACTION

    def may_check(self, at_ms: int) -> bool:
        """Return whether no other check is under way or has just failed."""
        if at_ms < self.retry_at_ms:
            return False
        begun_ms = self.check_begun_ms
        return begun_ms is None or at_ms - begun_ms >= CHECK_TIMEOUT_MS

    def begin_check(self, at_ms: int) -> None:
        """Record that a read for a new proof begins."""
        self.check_begun_ms = at_ms

    def end_check(self, at_ms: int, succeeded: bool) -> None:
        """Record that the read for a new proof has ended."""
        self.check_begun_ms = None
        if not succeeded:
            self.retry_at_ms = at_ms + CHECK_RETRY_MS
