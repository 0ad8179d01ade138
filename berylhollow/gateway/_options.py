"""What the settings decide for a gateway's reducer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one gateway; durations in milliseconds.

    ``attempts`` bounds the attempts of one request. ``link_retry_ms`` is
    the pause before a refused link is opened again, ``resume_ms`` how long a
    broken link may take to come back before its answers are given up.
    ``claim_ms`` bounds the wait for the log's decision about a key,
    ``claim_window_ms`` is how long a key is held; it must be shorter than
    the log's retention.
    """

    instance: str
    failure_domain: str = 'local'
    region: str = 'local'
    attempts: int = 3
    instance_poll_ms: int = 1000
    link_retry_ms: int = 500
    resume_ms: int = 3000
    claim_partitions: int = 4
    claim_window_ms: int = 6 * 3600 * 1000
    claim_ms: int = 2000
    claim_flush_ms: int = 20
    claim_poll_ms: int = 20
    claim_retry_ms: int = 500
    claim_batch: int = 512
    stop_grace_ms: int = 600_000
