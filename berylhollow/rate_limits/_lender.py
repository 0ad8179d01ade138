"""Lends gateways the requests that endpoints take, from a bucket each."""

import dataclasses

from berylhollow import clock
from berylhollow.rate_limits import _bounds

WORD_MS = 2000
"""For how long a gateway's word on a rate counts."""

FORGET_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """How many requests are lent, and when to ask again if none is."""

    count: int
    wait_ms: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    """What an endpoint takes; ``words`` has who said which rate, and when."""

    at_ms: int
    level: float = 0.0
    words: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )


class Lender:
    """What may be sent to endpoints with a limit; a pure machine.

    A bucket begins empty: what was lent by another before is not known.
    Gateways learn of a change by their own answers, so that their words
    differ for a while; the lowest counts.
    """

    def __init__(self):
        self.buckets: dict[str, _Bucket] = {}

    def lend(
        self,
        gateway: str,
        endpoint: str,
        rate_per_s: float,
        wanted: int,
        at_ms: int,
    ) -> Lent:
        """Lend a gateway up to so many requests to an endpoint."""
        self._forget(at_ms)
        bucket = self.buckets.setdefault(endpoint, _Bucket(at_ms))
        bucket.words = {
            name: word
            for name, word in bucket.words.items()
            if at_ms - word[1] < WORD_MS
        }
        bucket.words[gateway] = (rate_per_s, at_ms)
        lowest = min(rate for rate, _ in bucket.words.values())
        rate_per_s = _bounds.effective(lowest)
        passed_s = max(0, at_ms - bucket.at_ms) / clock.MS_PER_SECOND
        filled = bucket.level + rate_per_s * passed_s
        bucket.level = min(_bounds.capacity(rate_per_s), filled)
        bucket.at_ms = at_ms
        count = max(0, min(wanted, int(bucket.level)))
        bucket.level -= count
        if count:
            return Lent(count, 0)
        missing_s = (1 - bucket.level) / rate_per_s
        return Lent(0, int(missing_s * clock.MS_PER_SECOND) + 1)

    def _forget(self, at_ms: int) -> None:
        old = [
            name
            for name, bucket in self.buckets.items()
            if at_ms - bucket.at_ms >= FORGET_MS
        ]
        for name in old:
            del self.buckets[name]
