"""Scales the limit of a batch by the gaps that callers have seen."""

from berylhollow import clock

HIGH_GAP_SHARE = 0.85
LOW_GAP_SHARE = 0.6
"""Shares of the allowed gap. Above the first one the limit falls, below the
second one it may rise; in between it stays."""

DECREASE_FACTOR = 0.8
INCREASE_FACTOR = 1.1
MIN_FACTOR = 0.5
MAX_FACTOR = 8.0
"""With this factor a batch has two seconds of prompts, which limits nothing
but a backlog in which requests would miss their objective anyway."""

INTERVAL_MS = 400
"""Interval between two changes. Gateways report gaps as often."""


class GapControl:
    """The factor on the limit of a batch.

    What an engine reads in one step is not declared. One with small chunks
    keeps the allowed gap however much it is sent, and a limit would only cost
    it reading time. The factor therefore rises while the limit holds prompts
    back and no caller sees a gap near the allowed one. It falls when one does.
    """

    def __init__(self):
        self.factor = 1.0
        self.longest_gap_ms = 0
        self.has_limited = False
        self.changed_ms = clock.NEVER_MS

    def note_limited(self) -> None:
        """Note that the limit has held a prompt back."""
        self.has_limited = True

    def record(
        self, longest_gap_ms: int, allowed_gap_ms: int, at_ms: int
    ) -> None:
        """Note the longest gap that a gateway has seen since its last report.

        0 if it has seen none. ``allowed_gap_ms`` is 0 before it is known.
        """
        if not allowed_gap_ms:
            return
        self.longest_gap_ms = max(self.longest_gap_ms, longest_gap_ms)
        is_due = at_ms - self.changed_ms >= INTERVAL_MS
        if not (is_due and self.longest_gap_ms):
            return
        gap_share = self.longest_gap_ms / allowed_gap_ms
        if gap_share > HIGH_GAP_SHARE:
            self.factor = max(MIN_FACTOR, self.factor * DECREASE_FACTOR)
        elif gap_share < LOW_GAP_SHARE and self.has_limited:
            self.factor = min(MAX_FACTOR, self.factor * INCREASE_FACTOR)
        self.longest_gap_ms = 0
        self.has_limited = False
        self.changed_ms = at_ms
