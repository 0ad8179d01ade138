"""Options of a sidecar's reducer."""

import dataclasses

from berylhollow import quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one sidecar; durations are in milliseconds.

    ``plain`` marks an endpoint without adapters, ``policy`` names the adapter
    policy.

    - ``ended_retention_ms``: how long an ended attempt is kept for a gateway
      that resumes it.
    - ``report_ms``: interval between reports to the gateways.
    - ``idle_report_interval_ms``: interval between reports of an idle endpoint
      whose state has not changed.
    - ``permit_request_interval_ms``: interval at which an unchanged request
      for a load permit is repeated to the load coordinator.
    - ``coordinator_silence_ms``: after this time without an answer of the
      coordinator the sidecar loads without permits, one adapter every
      ``load_interval_ms`` to ``max_load_interval_ms``.
    - ``load_hang_threshold_ms``: a load that takes longer no longer delays the
      loads into other slots.
    - ``settle_ms``: how long an order of unknown outcome may still take
      effect, and how long at most a new sidecar waits for the runs and loads
      of its predecessor. Must be longer than an order can be in flight to an
      engine.
    - ``takeover_timeout_ms``: how long a new sidecar waits for its fencing
      token from the log before it derives one from the engine's status.
    - ``link_close_timeout_ms``: how long a stop waits for gateways to close
      their links. Must be longer than the timeout of a link whose peer is
      silent.
    - ``resume_timeout_ms``: how long an attempt may wait to be resumed after
      its link was lost. Must be longer than a gateway tries to resume it.
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
    idle_report_interval_ms: int = 10_000
    takeover_retry_ms: int = 500
    takeover_timeout_ms: int = 5000
    settle_ms: int = 60_000
    ended_retention_ms: int = 60_000
    isolation_gap_ms: int = 1000
    suspicion: quarantine.Rules = quarantine.Rules()
    stop_grace_ms: int = 600_000
    link_close_timeout_ms: int = 15_000
    resume_timeout_ms: int = 10_000
    policy: str = 'adaptive'
    permit_request_interval_ms: int = 500
    coordinator_silence_ms: int = 1500
    load_interval_ms: int = 500
    max_load_interval_ms: int = 8000
    load_hang_threshold_ms: int = 5000
