"""A token bucket without a clock."""

MS_PER_SECOND = 1000


class TokenBucket:
    """Admit ``rate_per_s`` a second on average and ``burst`` at once."""

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = burst
        self.filled_ms: float | None = None

    def take(self, now_ms: float) -> bool:
        """Take one token; return False, taking none, if there is none."""
        if self.filled_ms is not None:
            gained = (now_ms - self.filled_ms) * self.rate_per_s
            self.level += gained / MS_PER_SECOND
            self.level = min(self.burst, self.level)
        self.filled_ms = now_ms
        if self.level < 1:
            return False
        self.level -= 1
        return True
