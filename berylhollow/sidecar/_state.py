"""What a sidecar knows: its engine's slots and the attempts it took."""

import collections
import dataclasses
import enum

from berylhollow import errors
from berylhollow import following
from berylhollow import messages
from berylhollow import policy
from berylhollow import quarantine
from berylhollow.sidecar import _options

MOST_FLOWS = 1024
KEPT_FLOWS = 512


class SlotPhase(enum.Enum):
    """What is known of a slot.

    Only READY says that we loaded the adapter ourselves in this epoch.
    UNCERTAIN is a slot whose last order has no known outcome.
    """

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(slots=True)
class Slot:
    """One adapter slot of the engine.

    ``pins`` counts the runs that use it: a slot with pins is never ordered
    to load anything. ``runs`` counts those begun since it was loaded.
    ``may_hold`` are the adapters that the engine may have in it, whatever
    we think of it, ``held_before`` those it may have had before our order.
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
    uncertain_ms: int = 0
    distrusted: bool = False
    may_hold: frozenset[messages.AdapterVersion] = frozenset()
    held_before: frozenset[messages.AdapterVersion] = frozenset()


class Phase(enum.Enum):
    """How far an attempt is.

    ENDED attempts are kept for a while, so that a resume or a doubled offer
    of one is recognised.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt that a gateway offered.

    ``stalled_ms`` is how long it waited for its adapter to be loaded,
    up to ``began_ms`` or its end. ``lost_ms`` is when it is given up with the
    engine that it was sent to, None while that lives. ``unlinked_ms`` is when
    the link of its gateway was lost, None once the gateway has resumed it.
    """

    offer: messages.Offer
    peer: str
    arrived_ms: int
    deadline_ms: int
    phase: Phase = Phase.QUEUED
    slot: int | None = None
    started: messages.Started | None = None
    outcome: messages.End | messages.Failed | None = None
    began_ms: int = 0
    ended_ms: int = 0
    stalled_ms: int = 0
    cancelled: bool = False
    isolate: bool = False
    lost_ms: int | None = None
    unlinked_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Backoff:
    """Pause before a load that failed is ordered again."""

    failures: int = 0
    until_ms: int = 0
    reason: errors.Kind = errors.Kind.LOAD_FAILED


@dataclasses.dataclass(slots=True)
class Pacing:
    """Permits of the load coordinator, and our own pace without it.

    ``permit`` was granted by ``granter`` and not used yet; 0 is none.
    ``used_permit`` belongs to the load under way. ``asked`` is our last
    wish, unanswered since ``unanswered_ms``. Without a coordinator the next
    load is due at ``next_ms`` and ``interval_ms`` lies between two; with
    one, ``turn_ms`` is how long it takes until a wish is granted.
    """

    permit: int = 0
    granter: str = ''
    lapses_ms: int = 0
    used_permit: int = 0
    used_granter: str = ''
    asked: messages.LoadWanted | None = None
    asked_ms: int = 0
    unanswered_ms: int | None = None
    next_ms: int = 0
    interval_ms: float = 0.0
    turn_ms: float = 0.0
    seed: float = 0.5


@dataclasses.dataclass(slots=True)
class Shares:
    """What was done for each of several flows that share an endpoint.

    ``floor`` is what the flow served last had had before; whoever had less,
    or is not known, counts as having had this much.
    """

    done: dict[str, float] = dataclasses.field(default_factory=dict)
    floor: float = 0.0

    def had(self, flow: str) -> float:
        """Return what was done for a flow."""
        return max(self.floor, self.done.get(flow, 0.0))

    def charge(self, flow: str, cost: float) -> None:
        """Count a run for a flow.

        A flow that had nothing for a while begins at the floor: it gets its
        share from now on, not arrears.
        """
        self.floor = self.had(flow)
        self.done[flow] = self.floor + cost
        if len(self.done) > MOST_FLOWS:
            self._forget()

    def _forget(self) -> None:
        """Keep the flows that had most: the others gain least by it.

        Guards against memory that grows with every name a caller makes up.
        """
        most = sorted(self.done, key=self.done.__getitem__, reverse=True)
        self.done = {flow: self.done[flow] for flow in most[:KEPT_FLOWS]}


@dataclasses.dataclass(slots=True)
class State:
    """Everything that a sidecar's reducer remembers.

    ``ended`` holds the ended ones of ``attempts`` in the order they ended,
    ``farewells`` the gateways that have to close their links before we exit,
    ``farewells_had`` the incarnations of those that have done so.
    """

    options: _options.Options
    follower: following.Follower
    incarnation: str = ''
    epoch: str = ''
    retired_epochs: set[str] = dataclasses.field(default_factory=set)
    fence: int = 0
    fence_settled: bool = False
    started_ms: int = 0
    takeover_retry_ms: int = 0
    engine_at_rest: bool = False
    deposed: bool = False
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
    crash_told: str = ''
    survived: int = 0
    isolated_ended_ms: int = -1_000_000
    adapter_policy: policy.Policy = dataclasses.field(init=False)
    pacing: Pacing = dataclasses.field(default_factory=Pacing)
    caller_shares: Shares = dataclasses.field(default_factory=Shares)
    adapter_shares: dict[str, Shares] = dataclasses.field(default_factory=dict)
    run_ms: float = 0.0
    token_ms: float = 0.0
    load_ms: float = 0.0
    ticked_ms: int | None = None
    woke_ms: int = 0
    orders: int = 0
    served_revision: int = 0
    status_read_ms: int = -1_000_000
    reported_ms: int = -1_000_000
    reported: messages.Report | None = None
    stopping: bool = False
    stop_by_ms: int = 0
    farewells: set[str] = dataclasses.field(default_factory=set)
    farewells_had: set[str] = dataclasses.field(default_factory=set)
    farewell_by_ms: int = 0
    exited: bool = False

    def __post_init__(self):
        self.suspects = quarantine.Suspects(self.options.suspicion)
        self.adapter_policy = policy.named(self.options.policy)

    @property
    def capacity(self) -> int:
        """How many runs the endpoint may have at once."""
        if self.options.plain or not self.batch_limit:
            return self.options.concurrency
        return self.batch_limit

    def slot_with(self, adapter: messages.AdapterVersion) -> Slot | None:
        """Return the slot that is ready with an adapter version."""
        for slot in self.slots:
            if slot.phase is SlotPhase.READY and slot.adapter == adapter:
                return slot
        return None

    def slot_of_order(self, order_id: str) -> Slot | None:
        """Return the slot whose last order this is."""
        for slot in self.slots:
            if slot.order_id == order_id:
                return slot
        return None
