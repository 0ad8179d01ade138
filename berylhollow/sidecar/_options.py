"""Options of a sidecar's reducer."""

import dataclasses

from berylhollow import quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one sidecar; durations are in milliseconds.

    ``plain`` marks an endpoint without adapters, ``policy`` names the adapter
    policy.

    - ``keep_ended_ms``: how long an ended attempt is kept for a gateway that
      resumes it.
    - ``report_ms``: interval between reports to the gateways.
    - ``report_idle_ms``: interval between reports of an idle endpoint whose
      state has not changed.
    - ``load_ask_ms``: interval at which an unchanged request for a load permit
      is repeated to the load coordinator.
    - ``coordinator_silence_ms``: after this time without an answer of the
      coordinator the sidecar loads without permits, one adapter every
      ``load_interval_ms`` to ``load_longest_interval_ms``.
    - ``load_hang_ms``: a load that takes longer no longer delays the loads
      into other slots.
    - ``settle_ms``: how long an order of unknown outcome may still take
      effect, and how long at most a new sidecar waits for the runs and loads
      of its predecessor. Must be longer than an order can be in flight to an
      engine.
    - ``takeover_wait_ms``: how long a new sidecar waits for its fencing token
      from the log before it derives one from the engine's status.
    - ``farewell_ms``: how long a stop waits for gateways to close their
      links. Must be longer than the timeout of a link whose peer is silent.
    - ``orphan_ms``: how long an attempt may wait to be resumed after its link
      was lost. Must be longer than a gateway tries to resume it.
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
