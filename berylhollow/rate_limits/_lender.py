"""Lends requests to gateways, from one token bucket for each endpoint."""

import dataclasses

from berylhollow import clock
from berylhollow.rate_limits import _bounds

REPORT_LIFETIME_MS = 2000
"""How long a rate reported by a gateway counts."""

IDLE_BUCKET_MS = 10_000
"""A bucket that was not used for this long is removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LendResult:
    """How many requests are lent, and when to ask again if none are."""

    count: int
    wait_ms: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The token bucket of an endpoint.

    ``reports`` maps each gateway to the rate that it last reported, and when.
    """

    at_ms: int
    level: float = 0.0
    reports: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )


class Lender:
    """Lends requests to endpoints with a rate limit; does no I/O.

    A bucket begins empty, since the requests that another lender lent before
    are not known. Each gateway learns of a changed limit from the answers to
    its own requests, so that for a while gateways report different rates; the
    lowest one applies.
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
    ) -> LendResult:
        """Lend a gateway up to ``wanted`` requests to an endpoint.

        ``rate_per_s`` is the endpoint's limit as known to the gateway.
        """
        self._remove_idle_buckets(at_ms)
        bucket = self.buckets.setdefault(endpoint, _Bucket(at_ms))
        bucket.reports = {
            name: report
            for name, report in bucket.reports.items()
            if at_ms - report[1] < REPORT_LIFETIME_MS
        }
        bucket.reports[gateway] = (rate_per_s, at_ms)
        lowest = min(rate for rate, _ in bucket.reports.values())
        rate_per_s = _bounds.effective_rate(lowest)
        elapsed_s = max(0, at_ms - bucket.at_ms) / clock.MS_PER_SECOND
        filled = bucket.level + rate_per_s * elapsed_s
        bucket.level = min(_bounds.capacity(rate_per_s), filled)
        bucket.at_ms = at_ms
        count = max(0, min(wanted, int(bucket.level)))
        bucket.level -= count
        if count:
            return LendResult(count, 0)
        missing_s = (1 - bucket.level) / rate_per_s
        return LendResult(0, int(missing_s * clock.MS_PER_SECOND) + 1)

    def _remove_idle_buckets(self, at_ms: int) -> None:
        idle = [
            name
            for name, bucket in self.buckets.items()
            if at_ms - bucket.at_ms >= IDLE_BUCKET_MS
        ]
        for name in idle:
            del self.buckets[name]
