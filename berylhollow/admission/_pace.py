"""How fast an endpoint reads prompts, and how much of the time it does."""

import collections

from berylhollow.util import average

INITIAL_TOKEN_MS = 0.05
MIN_TOKEN_MS = 0.01
MAX_TOKEN_MS = 0.5
SMOOTHING = 0.2

MIN_SAMPLE_TOKENS = 1000
"""Smaller batches show mostly the delays of links and steps."""

SHARE_WINDOW_MS = 2000


class ReadingPace:
    """Time per prompt token, and the share of time spent reading prompts.

    ``token_ms`` is in milliseconds per token. ``is_measured`` tells whether a
    batch has been measured yet.
    """

    def __init__(self):
        self.token_ms = INITIAL_TOKEN_MS
        self.is_measured = False
        self.reading_since_ms: int | None = None
        self.past_reads: collections.deque[tuple[int, int]] = (
            collections.deque()
        )

    def record_batch(self, tokens: int, reading_ms: float) -> None:
        """Update the pace with a batch that was read in ``reading_ms``."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = min(MAX_TOKEN_MS, max(MIN_TOKEN_MS, reading_ms / tokens))
        self.token_ms = average.update_average(
            self.token_ms, sample, SMOOTHING
        )
        self.is_measured = True

    def begin_reading(self, at_ms: int) -> None:
        """Note that a granted request has not begun."""
        if self.reading_since_ms is None:
            self.reading_since_ms = at_ms

    def end_reading(self, at_ms: int) -> None:
        """Note that all granted requests have begun or ended."""
        if self.reading_since_ms is None:
            return
        self.past_reads.append((self.reading_since_ms, at_ms))
        self.reading_since_ms = None
        self._forget_before(at_ms - SHARE_WINDOW_MS)

    def read_share(self, at_ms: int) -> float:
        """Return the share of the last two seconds spent reading, 0 to 1."""
        from_ms = at_ms - SHARE_WINDOW_MS
        self._forget_before(from_ms)
        read_ms = sum(
            end_ms - max(begin_ms, from_ms)
            for begin_ms, end_ms in self.past_reads
        )
        if self.reading_since_ms is not None:
            read_ms += at_ms - max(self.reading_since_ms, from_ms)
        return min(1.0, max(0.0, read_ms / SHARE_WINDOW_MS))

    def _forget_before(self, at_ms: int) -> None:
        while self.past_reads and self.past_reads[0][1] <= at_ms:
            self.past_reads.popleft()
