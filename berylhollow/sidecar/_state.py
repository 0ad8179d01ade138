"""State of a sidecar's reducer: the engine's slots and the attempts."""

import collections
import dataclasses
import enum

from berylhollow import errors
from berylhollow import following
from berylhollow import messages
from berylhollow import policy
from berylhollow import quarantine
from berylhollow.sidecar import _options

MAX_FLOWS = 1024
KEPT_FLOWS = 512


class SlotPhase(enum.Enum):
    """Load state of a slot.

    READY means that this sidecar loaded the adapter in the current epoch,
    UNCERTAIN that the outcome of the slot's last load order is unknown.
    """

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(slots=True)
class Slot:
    """One adapter slot of the engine.

    ``pins`` counts the runs that use the slot; nothing is loaded into a
    slot with pins. ``runs`` counts the runs started since the last load.
    ``may_hold`` are all adapters that the engine may have in the slot,
    whatever ``adapter`` says, ``may_hold_before`` those that it may have had
    before the last order.
    """

    number: int
    phase: SlotPhase = SlotPhase.EMPTY
    adapter: messages.AdapterVersion | None = None
    order_id: str = ''
    ordered_ms: int = 0
    pins: int = 0
    runs: int = 0
    loaded_ms: int = 0
    used_ms: int = 0
    uncertain_since_ms: int = 0
    distrusted: bool = False
    may_hold: frozenset[messages.AdapterVersion] = frozenset()
    may_hold_before: frozenset[messages.AdapterVersion] = frozenset()


class AttemptPhase(enum.Enum):
    """Lifecycle phase of an attempt.

    ENDED attempts are kept for a while to recognise a resume or a duplicate
    offer.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt that a gateway offered.

    ``stalled_ms`` is how long it waited for its adapter to be loaded,
    up to ``began_ms`` or its end. ``give_up_ms`` is when the attempt fails
    after the engine that it was sent to was lost, None while that engine
    runs. ``unlinked_since_ms`` is when the link to its gateway was lost,
    None once the gateway has resumed the attempt.
    """

    offer: messages.Offer
    peer: str
    arrived_ms: int
    deadline_ms: int
    phase: AttemptPhase = AttemptPhase.QUEUED
    slot: int | None = None
    started: messages.Started | None = None
    outcome: messages.End | messages.Failed | None = None
    began_ms: int = 0
    ended_ms: int = 0
    stalled_ms: int = 0
    cancelled: bool = False
    isolate: bool = False
    crashes_known: int = 0
    give_up_ms: int | None = None
    unlinked_since_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Backoff:
    """Back-off before a failed load of an adapter is retried."""

    failures: int = 0
    until_ms: int = 0
    reason: errors.Kind = errors.Kind.LOAD_FAILED


@dataclasses.dataclass(slots=True)
class Pacing:
    """Permits of the load coordinator, and local pacing without one.

    ``permit`` was granted by ``permit_peer`` and is unused; 0 means none.
    ``active_permit`` belongs to the load in flight. ``last_request`` is the
    last permit request, unanswered since ``unanswered_since_ms``. Without a
    coordinator the next load is due at ``next_load_ms``, ``interval_ms``
    after the previous one; with one, ``grant_wait_ms`` is the expected time
    until a request is granted. ``seed`` is a random number in [0, 1) for the
    jitter.
    """

    permit: int = 0
    permit_peer: str = ''
    permit_expires_ms: int = 0
    active_permit: int = 0
    active_permit_peer: str = ''
    last_request: messages.LoadWanted | None = None
    last_request_ms: int = 0
    unanswered_since_ms: int | None = None
    next_load_ms: int = 0
    interval_ms: float = 0.0
    grant_wait_ms: float = 0.0
    seed: float = 0.5


@dataclasses.dataclass(slots=True)
class FlowShares:
    """Work charged to each of the flows that share an endpoint.

    ``virtual_time`` is what the flow served last had been charged before;
    flows that are unknown or were charged less count as charged this much.
    """

    work: dict[str, float] = dataclasses.field(default_factory=dict)
    virtual_time: float = 0.0

    def work_of(self, flow: str) -> float:
        """Return the work that counts as charged to a flow."""
        return max(self.virtual_time, self.work.get(flow, 0.0))

    def charge(self, flow: str, cost: float) -> None:
        """Charge the cost of a run to a flow.

        A flow that was idle starts at the virtual time: it gets its share
        from now on, without credit for the idle time.
        """
        self.virtual_time = self.work_of(flow)
        self.work[flow] = self.virtual_time + cost
        if len(self.work) > MAX_FLOWS:
            self._forget()

    def _forget(self) -> None:
        """Drop the flows charged least, which gain least by being dropped.

        Bounds the memory: callers could make up any number of names.
        """
        most = sorted(self.work, key=self.work.__getitem__, reverse=True)
        self.work = {flow: self.work[flow] for flow in most[:KEPT_FLOWS]}


@dataclasses.dataclass(slots=True)
class State:
    """State of a sidecar's reducer.

    ``superseded`` is set once a newer sidecar has sent orders to the engine.
    ``survived_crashes`` counts crash reports after which the engine answered
    in the same epoch.
    ``ended`` holds the ended attempts in the order in which they ended,
    ``awaited_gateways`` the gateways that have to close their links before the
    sidecar exits, ``departed_incarnations`` the incarnations of those that
    have done so.
    """

    options: _options.Options
    follower: following.Follower
    incarnation: str = ''
    epoch: str = ''
    retired_epochs: set[str] = dataclasses.field(default_factory=set)
    fence: int = 0
    has_log_fence: bool = False
    started_ms: int = 0
    next_takeover_append_ms: int = 0
    engine_was_idle: bool = False
    superseded: bool = False
    batch_limit: int = 0
    reachable: bool = False
    slots: list[Slot] = dataclasses.field(default_factory=list)
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    ended: collections.deque[Attempt] = dataclasses.field(
        default_factory=collections.deque
    )
    queue: list[str] = dataclasses.field(default_factory=list)
    running: set[str] = dataclasses.field(default_factory=set)
    links: dict[str, str] = dataclasses.field(default_factory=dict)
    backoffs: dict[messages.AdapterVersion, Backoff] = dataclasses.field(
        default_factory=dict
    )
    suspects: quarantine.Suspects = dataclasses.field(init=False)
    reported_crash_id: str = ''
    survived_crashes: int = 0
    last_isolated_end_ms: int = -1_000_000
    adapter_policy: policy.Policy = dataclasses.field(init=False)
    pacing: Pacing = dataclasses.field(default_factory=Pacing)
    caller_shares: FlowShares = dataclasses.field(default_factory=FlowShares)
    adapter_shares: dict[str, FlowShares] = dataclasses.field(
        default_factory=dict
    )
    run_ms: float = 0.0
    token_ms: float = 0.0
    load_ms: float = 0.0
    last_tick_ms: int | None = None
    last_pause_end_ms: int = 0
    order_count: int = 0
    announced_revision: int = 0
    last_status_read_ms: int = -1_000_000
    last_report_ms: int = -1_000_000
    reported: messages.Report | None = None
    stopping: bool = False
    stop_deadline_ms: int = 0
    awaited_gateways: set[str] = dataclasses.field(default_factory=set)
    departed_incarnations: set[str] = dataclasses.field(default_factory=set)
    link_close_deadline_ms: int = 0
    exited: bool = False

    def __post_init__(self):
        self.suspects = quarantine.Suspects(self.options.suspicion)
        self.adapter_policy = policy.create_policy(self.options.policy)

    @property
    def capacity(self) -> int:
        """Maximum number of concurrent runs at the endpoint."""
        if self.options.plain or not self.batch_limit:
            return self.options.concurrency
        return self.batch_limit

    def ready_slot(self, adapter: messages.AdapterVersion) -> Slot | None:
        """Return the READY slot that holds an adapter version, or None."""
        for slot in self.slots:
            if slot.phase is SlotPhase.READY and slot.adapter == adapter:
                return slot
        return None

    def slot_of_order(self, order_id: str) -> Slot | None:
        """Return the slot whose last load order has this id, or None."""
        for slot in self.slots:
            if slot.order_id == order_id:
                return slot
        return None
