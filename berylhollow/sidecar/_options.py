"""What the settings decide for a sidecar's reducer."""

import dataclasses

from berylhollow import quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one sidecar; durations in milliseconds.

    ``plain`` marks an endpoint without adapters. ``keep_ended_ms`` is how
    long an ended attempt is remembered for a gateway that resumes.
    ``policy`` names the adapter policy.
    """

    instance: str
    service: str
    failure_domain: str = 'local'
    region: str = 'local'
    plain: bool = False
    checks_fencing: bool = True
    concurrency: int = 8
    queue_limit: int = 256
    load_timeout_ms: int = 30_000
    load_backoff_ms: int = 1000
    status_poll_ms: int = 500
    report_ms: int = 250
    keep_ended_ms: int = 60_000
    isolation_gap_ms: int = 1000
    suspicion: quarantine.Rules = quarantine.Rules()
    stop_grace_ms: int = 600_000
    policy: str = 'adaptive'
