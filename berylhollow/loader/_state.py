"""What a loader knows: its endpoint's adapters, and who needs which."""

import dataclasses

from berylhollow import clock
from berylhollow import events
from berylhollow.loader import _demand
from berylhollow import messages
from berylhollow import rate_limits
from berylhollow import workspaces


MOST_ENDED = 64
"""Starts remembered as over. Gateways behind the list name the last few."""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one loader; durations in milliseconds.

    ``loading_at_once``: the weight store slows down beyond eight loads over
    all endpoints, so a few endpoints with two each stay below them.
    ``busy_read_ms`` and ``idle_read_ms`` are the pauses between reads of the
    endpoint's report while something is loading or wanted, and otherwise; a
    load takes about 250. ``report_ms`` is the pause between two reports that
    say the same, ``hint_ms`` between two that differ, but for what all have to
    know at once: less than half of a load. A gateway's demand is forgotten
    after ``demand_ms`` without word of it, six times the pause between two.
    An adapter that was in use less than ``idle_ms`` ago is not evicted: a
    request for it may be on its way, of which a gateway tells at its next
    tick, 50 ms, and over a link, up to 10. At 300 an eighth of the slots
    stood idle in a crowd. ``order_ms`` is after how long an order counts as
    lost. After one that was refused the next waits ``refused_ms``, doubled
    each time up to ``refused_most_ms``, so that no refusal is asked for
    without end. A load is worth the requests that wait and those expected
    within ``rate_horizon_s``.
    What it evicts can be loaded again quickly, so that only costs those
    expected within ``reload_horizon_s``: a tenth, as a reload takes a tenth of
    a load.
    """

    instance: str
    service: str
    failure_domain: str = ''
    loading_at_once: int = 2
    busy_read_ms: int = 40
    idle_read_ms: int = 300
    report_ms: int = 1000
    hint_ms: int = 100
    demand_ms: int = 2500
    idle_ms: int = 80
    order_ms: int = 500
    refused_ms: int = 40
    refused_most_ms: int = 1280
    rate_horizon_s: float = 2.0
    reload_horizon_s: float = 0.2
    stray_ms: int = 15_000


@dataclasses.dataclass(slots=True)
class Order:
    """The order under way, valid after ``expected`` accepted ones."""

    order_id: str
    load: bool
    name: str
    sent_ms: int
    expected: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Stray:
    """A load for a start that is over, which may still be carried out.

    The endpoint takes it when it has accepted ``expected`` orders since it
    started again.
    """

    expected: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class State:
    """Everything that a loader's reducer remembers.

    ``endpoint`` is the incarnation to order, None while it is not known:
    only the gateways' list names it. ``ended`` are those that are known to be
    over, the latest last. ``unanswered`` are loads of the present start whose
    answer was lost, ``strays`` those of starts that are over. ``used_ms`` is
    when each adapter was last needed, by name. ``held_back`` is what was last
    said of whether the model waits for its turn with the weight store.
    ``fresh_read`` is the first read that was begun after the last order had
    ended: an earlier one may not show what that order changed.
    """

    options: Options
    endpoint: messages.Incarnation | None = None
    ended: dict[messages.Incarnation, None] = dataclasses.field(
        default_factory=dict
    )
    unanswered: list[Stray] = dataclasses.field(default_factory=list)
    strays: list[Stray] = dataclasses.field(default_factory=list)
    adapters: events.AdaptersReported | None = None
    reading: bool = False
    reads: int = 0
    fresh_read: int = 0
    read_ms: int = clock.NEVER_MS
    unreachable: bool = False
    links: dict[str, str] = dataclasses.field(default_factory=dict)
    demand: _demand.Demand = dataclasses.field(default_factory=_demand.Demand)
    book: workspaces.Book = dataclasses.field(default_factory=workspaces.Book)
    lender: rate_limits.Lender = dataclasses.field(
        default_factory=rate_limits.Lender
    )
    incarnation: str = ''
    used_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    order: Order | None = None
    orders: int = 0
    refusals: int = 0
    order_at_ms: int = 0
    held_back: bool = False
    reported: messages.Report | None = None
    told_users: messages.Report | None = None
    reported_ms: int = clock.NEVER_MS

    def learn_endpoint(self, named: messages.Incarnation) -> None:
        """Take the incarnation that a gateway has from the list.

        Not one that is over, nor one that started at another time than the
        endpoint itself says: that gateway is behind. One that fits goes
        before a name that was only kept over a restart.
        """
        if not named.name or named in self.ended:
            return
        started_ms = 0 if self.adapters is None else self.adapters.started_ms
        if started_ms and named.started_ms:
            if named.started_ms == started_ms:
                self.endpoint = named
            return
        if self.endpoint is None:
            self.endpoint = named

    def end_endpoint(self) -> None:
        """The incarnation that was ordered is over; another is there.

        Guards against a gateway that is behind the list and still names it:
        the loader would order the old one again and again. What others say
        may name the next one already.
        """
        if self.endpoint is not None:
            self.ended.pop(self.endpoint, None)
            self.ended[self.endpoint] = None
        while len(self.ended) > MOST_ENDED:
            del self.ended[next(iter(self.ended))]
        self.endpoint = None
        for told in self.demand.told.values():
            self.learn_endpoint(told.demands.incarnation)

    def restart_endpoint(self, started_ms: int) -> None:
        """The endpoint has started again, and knows nothing of before.

        Its name may have stayed the same, which the list tells seconds later
        or, in an outage of the store, not at all. Ordered under its old name
        it starts to load at once; if it has another, it refuses the order
        and no harm is done.
        """
        before = self.endpoint
        self.strays += self.unanswered
        self.unanswered = []
        self.order = None
        self.refusals = 0
        self.order_at_ms = 0
        self.used_ms = {}
        self.end_endpoint()
        if self.endpoint is None and before is not None and started_ms:
            kept = messages.Incarnation(before.name, started_ms)
            if kept not in self.ended:
                self.endpoint = kept

    @property
    def slots(self) -> int:
        """How many adapters may be held, of those that gateways say.

        A stray load takes a place nobody has planned for. Guards against an
        endpoint that is asked for more than it can hold and crashes: one
        place stays free for each until the endpoint has accepted so many
        orders that none of them is valid any more.
        """
        most = self.demand.slots
        accepted = 0 if self.adapters is None else self.adapters.orders
        valid = sum(stray.expected >= accepted for stray in self.strays)
        return max(min(most, 1), most - valid)

    @property
    def model_load(self) -> messages.ModelLoad:
        """How far the endpoint is with its model from the weight store."""
        adapters = self.adapters
        models = self.demand.models
        if adapters is None or adapters.models or not models:
            return messages.ModelLoad.NONE
        if models[0] in adapters.at_hand:
            return messages.ModelLoad.NONE
        if adapters.busy:
            return messages.ModelLoad.UNDER_WAY
        return messages.ModelLoad.NEEDED

    @property
    def model_held_back(self) -> bool:
        """Whether the model waits for its turn with the weight store.

        Gateways that don't see each other may differ; one that says that
        this endpoint's turn has come is enough, or all might wait for ever.
        """
        if self.model_load is not messages.ModelLoad.NEEDED:
            return False
        return self.demand.holds_model_back
