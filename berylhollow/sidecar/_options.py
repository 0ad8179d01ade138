"""What the settings decide for a sidecar's reducer."""

import dataclasses

from berylhollow import quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one sidecar; durations in milliseconds.

    ``plain`` marks an endpoint without adapters. ``keep_ended_ms`` is how
    long an ended attempt is remembered for a gateway that resumes.
    Reports go out every ``report_ms``, those of an idle endpoint that say
    nothing new every ``report_idle_ms``.
    ``policy`` names the adapter policy. A wish to load is said again every
    ``load_ask_ms``; a coordinator that is silent for
    ``coordinator_silence_ms`` is done without, at a pace of one load in
    ``load_interval_ms`` to ``load_longest_interval_ms``. A load that takes
    longer than ``load_hang_ms`` no longer holds up other slots.
    ``settle_ms`` must be longer than an order can be under way to an engine;
    ``takeover_wait_ms`` is how long the log may keep a new sidecar from
    ordering before it takes its number from the engine. ``farewell_ms`` is
    how long a stop waits for gateways to close their links; it must be
    longer than a link lasts whose peer is silent. ``orphan_ms`` is how long
    an attempt may wait to be resumed after its link was lost; it must be
    longer than a gateway goes on trying.
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
    report_idle_ms: int = 10_000
    takeover_retry_ms: int = 500
    takeover_wait_ms: int = 5000
    settle_ms: int = 60_000
    keep_ended_ms: int = 60_000
    isolation_gap_ms: int = 1000
    suspicion: quarantine.Rules = quarantine.Rules()
    stop_grace_ms: int = 600_000
    farewell_ms: int = 15_000
    orphan_ms: int = 10_000
    policy: str = 'adaptive'
    load_ask_ms: int = 500
    coordinator_silence_ms: int = 1500
    load_interval_ms: int = 500
    load_longest_interval_ms: int = 8000
    load_hang_ms: int = 5000
