"""Options of a gateway's reducer."""

import dataclasses

from berylhollow import quarantine
from berylhollow import workspaces


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and durations of one gateway; durations in milliseconds.

    ``attempts`` limits the attempts of one request. ``link_retry_ms`` is the
    back-off before a refused link is opened again, doubled each time up to
    ``link_retry_most_ms``; after a link broke that carried nothing it is a
    random time up to ``link_spread_ms``. ``links_opening`` limits how many
    links are being opened at a time. For ``settle_ms`` after its start a
    gateway lets requests wait for links. ``leaving_retry_ms`` is the back-off
    before a link is opened to an endpoint that was leaving. ``resume_ms`` is
    how long a broken link may take to come back before its answers are given
    up. ``not_run_ms`` is how long a resumed attempt's "not run" is trusted; it
    must be shorter than sidecars remember ended attempts.

    ``claim_ms`` is the timeout of the log's decision about a key,
    ``claim_window_ms`` is how long a key is held; it must be shorter than the
    log's retention. With more than ``claim_direct_gateways`` gateways claims
    go through a leader for each partition.

    ``retry_share`` is the number of retries allowed per first attempt,
    ``retry_reserve`` the number allowed at once. With ``lost_retry_free`` an
    attempt that was lost with its endpoint may be repeated once without using
    the retry budget; it is off where the budget has to bound all repeats. With
    ``budget_by_caller`` each caller has a budget of its own. Limits of callers
    and adapters are those of this gateway alone. ``eject_failures`` in a row
    eject an endpoint for ``eject_ms``, doubled each time. ``peer_fanout`` is
    how many other gateways this one opens a link to.

    ``policy`` names the adapter policy. ``load_interval_ms`` is how much of
    the weight store's time one load takes; ``loads_per_s`` and ``loads_burst``
    are the store's limits, ``loads_at_once`` is how many loads it serves at
    full speed. A permit expires after ``load_lapse_ms`` at the earliest, a
    wanted load that is not repeated after ``load_wish_ms``. A request waits
    for its adapter for ``adapter_wait_share`` of its objective, and its caller
    is then told to retry after ``adapter_retry_ms``; while it waits, the
    endpoint is chosen anew every ``adapter_check_ms``.

    With ``needs_instances`` a gateway is not ready before it has read the
    instance list; a list older than ``instance_lost_ms`` is requested every
    ``instance_retry_ms``. ``sidecar_port`` is where sidecars beside direct
    endpoints accept links. Demand is sent to sidecars at least every
    ``demand_ms`` while this gateway has requests at their endpoint, else every
    ``idle_demand_ms``, well before they forget it.

    Keys are not used for ``neighbours_ms`` after the start unless another
    gateway's revision is known. A gateway whose proof of the keys is as old as
    ``keys_ready_ms`` is not ready for callers. After another gateway's newer
    revision has been known for ``outdated_ready_ms`` without coming into force
    here, the gateway is not ready; after ``outdated_refuse_ms`` it refuses
    requests. A request must not begin on an adapter version that has been
    superseded for ``version_limit_ms``. ``quota_tolerance`` is how far usage
    may deviate from a quota. With ``is_first_start`` no gateway of the
    system has run before.
    """

    instance: str
    failure_domain: str = 'local'
    region: str = 'local'
    attempts: int = 3
    instance_poll_ms: int = 1000
    instance_lost_ms: int = 5000
    instance_retry_ms: int = 1000
    link_retry_ms: int = 500
    link_retry_most_ms: int = 8000
    link_spread_ms: int = 500
    links_opening: int = 64
    settle_ms: int = 2000
    leaving_retry_ms: int = 500
    resume_ms: int = 3000
    not_run_ms: int = 30_000
    claim_partitions: int = 4
    claim_window_ms: int = 6 * 3600 * 1000
    claim_ms: int = 2000
    claim_flush_ms: int = 20
    claim_poll_ms: int = 20
    claim_retry_ms: int = 500
    claim_batch: int = 512
    claim_direct_gateways: int = 16
    claim_forward_ms: int = 500
    claim_fallback_ms: int = 5000
    retry_share: float = 0.1
    retry_reserve: float = 10.0
    retry_pause_ms: int = 50
    requests_in_flight: int = 4096
    caller_in_flight: int = 512
    caller_rate_per_s: float = 1000.0
    caller_burst: float = 1000.0
    caller_idle_ms: int = 60_000
    adapter_in_flight: int = 2048
    limit_retry_ms: int = 1000
    eject_failures: int = 5
    eject_ms: int = 2000
    peer_fanout: int = 3
    quarantine_poll_ms: int = 30_000
    suspicion: quarantine.Rules = quarantine.Rules()
    policy: str = 'adaptive'
    load_interval_ms: int = 500
    loads_per_s: float = 2.0
    loads_burst: float = 2.0
    loads_at_once: int = 1
    load_lapse_ms: int = 3000
    load_wish_ms: int = 1500
    stop_grace_ms: int = 600_000
    lost_retry_free: bool = True
    budget_by_caller: bool = True
    sidecar_port: int = 0
    needs_instances: bool = False
    adapter_wait_share: float = 0.8
    adapter_retry_ms: int = 400
    adapter_check_ms: int = 100
    demand_ms: int = 400
    idle_demand_ms: int = 1500
    neighbours_ms: int = 1000
    keys_ready_ms: int = 3_600_000
    outdated_ready_ms: int = 3_600_000
    outdated_refuse_ms: int = 3_600_000
    version_limit_ms: int = 5000
    is_first_start: bool = False
    quota_tolerance: workspaces.Tolerance = workspaces.Tolerance()
