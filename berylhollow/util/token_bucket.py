"""A token bucket whose callers pass in the current time."""

MS_PER_SECOND = 1000


class TokenBucket:
    """Allow ``rate_per_s`` tokens a second on average, ``burst`` at once."""

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = burst
        self.refilled_ms: float | None = None

    def try_take(self, now_ms: float) -> bool:
        """Take one token and return True, or return False if none is left."""
        if self.refilled_ms is not None:
            refill = (now_ms - self.refilled_ms) * self.rate_per_s
            self.level += refill / MS_PER_SECOND
            self.level = min(self.burst, self.level)
        self.refilled_ms = now_ms
        if self.level < 1:
            return False
        self.level -= 1
        return True
