"""State of a loader: its endpoint's adapters and the demand for them."""

import dataclasses

from berylhollow import admission
from berylhollow import clock
from berylhollow import events
from berylhollow.loader import _demand
from berylhollow import messages
from berylhollow import quarantine
from berylhollow import rate_limits
from berylhollow import resumption
from berylhollow.util import bounded
from berylhollow import workspaces


UNSETTLED_MS = 10_000
"""How long a lost run is kept. The instance list shows the end of an endpoint
earlier."""

MAX_KEPT_SUSPECTS = 2000
"""Requests whose crashes are kept for gateways that start."""

MAX_ENDED_INCARNATIONS = 64
"""Ended incarnations that are remembered. Gateways with an outdated instance
list may still name the last few of them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one loader; ``_ms`` fields are in milliseconds.

    - ``max_concurrent_loads``: the weight store slows down beyond eight loads
      over all endpoints, so a few endpoints with two each stay below that.
    - ``busy_read_ms``, ``idle_read_ms``: pause between reads of the
      endpoint's report while something is loading or wanted, and otherwise.
      A load takes about 250.
    - ``report_ms``: pause between two reports with the same content.
    - ``min_report_interval_ms``: pause between two reports that differ,
      unless the change has to be reported at once. Less than half of a load.
    - ``demand_expiry_ms``: age at which a gateway's demand is dropped, six
      times the pause between two of its messages.
    - ``idle_ms``: an adapter that was in use more recently is not evicted. A
      request for it may be in flight: the gateway reports it with its next
      tick, within 50 ms, and the link takes up to 10. At 300 an eighth of
      the slots stood idle in a simulated crowd of callers.
    - ``order_timeout_ms``: time after which an order counts as lost.
    - ``refusal_back_off_ms``, ``max_refusal_back_off_ms``: pause after a
      refused order, doubled with each further refusal up to the maximum, so
      that an order that is always refused is not repeated without a pause.
    - ``demand_horizon_s``: a load is worth the requests that wait and those
      expected within this time.
    - ``reload_horizon_s``: an eviction costs the requests expected within
      this time. The evicted adapter can be loaded again in a tenth of the
      time of a load, so this is a tenth of ``demand_horizon_s``.
    - ``stray_load_ms``: time for which a load without an answer may still be
      carried out.
    """

    instance: str
    service: str
    failure_domain: str = ''
    max_concurrent_loads: int = 2
    busy_read_ms: int = 40
    idle_read_ms: int = 300
    report_ms: int = 1000
    min_report_interval_ms: int = 100
    demand_expiry_ms: int = 2500
    idle_ms: int = 80
    order_timeout_ms: int = 500
    refusal_back_off_ms: int = 40
    max_refusal_back_off_ms: int = 1280
    demand_horizon_s: float = 2.0
    reload_horizon_s: float = 0.2
    stray_load_ms: int = 15_000


@dataclasses.dataclass(slots=True)
class Order:
    """The order in flight.

    The endpoint accepts it only while its count of accepted orders is
    ``expected``.
    """

    order_id: str
    load: bool
    name: str
    sent_ms: int
    expected: int = 0


ANY_COUNT = 2**62
"""Stands for an unknown number of accepted orders."""


@dataclasses.dataclass(frozen=True, slots=True)
class StrayLoad:
    """A load without an answer that may be carried out after a restart.

    The restarted endpoint accepts it when it has accepted ``expected`` orders
    since its start, at any number if it is ``ANY_COUNT``. The load is no
    longer valid at ``until_ms``.
    """

    expected: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The permit of a gateway's start to send a suspect request."""

    peer: str
    incarnation: str
    until_ms: int


@dataclasses.dataclass(slots=True)
class State:
    """The state of a loader's reducer.

    - ``endpoint``: the incarnation to send orders to, None while unknown.
      Only the gateways' instance list names it.
    - ``ended``: incarnations that are known to have ended, the latest last.
    - ``unanswered_loads``: loads sent to the current incarnation whose answer
      was lost; ``stray_loads``: those sent to earlier ones.
    - ``earlier_orders``: how many orders the endpoint's present start had
      accepted when this start of the sidecar first read it.
    - ``min_planning_read``: the first read begun after the last order ended.
      An earlier read may not show the result of that order.
    - ``last_used_ms``: when each adapter was last needed, by name.
    - ``logged_held_back``: whether the last log line about it said that the
      model waits for its turn with the weight store.
    - ``logged_waiting``: the needed version of each held adapter of which the
      last log line said that its replacement waits for runs, by name.
    - ``reported``: the last report sent to all gateways;
      ``reported_to_users``: the last one sent to those with requests here.
    - ``knows_predecessor``: whether a gateway has told of an earlier start of
      this sidecar.
    - ``kept_record``: the newest configuration record, for gateways that lack
      it; the next one is asked for at ``ask_record_ms``.
    - ``suspects``: requests that may have crashed endpoints, for gateways
      that start; kept since ``kept_since_ms``.
    - ``permits``: which gateway may send a suspect request, by fingerprint.
    - ``unsettled``: runs that gateways lost, for those that link later.
    - ``admissions``: requests that wait to be sent to the endpoint.
    - ``admission_logs``: log lines about grants in ``admission_log_second``.
    - ``origins``: which software version began the streams that gateways have
      told of; ``histories``: the versions listed, by service.
    - ``clearings_ms``: when the last clearings of parts were forwarded.
    """

    options: Options
    endpoint: messages.Incarnation | None = None
    ended: dict[messages.Incarnation, None] = dataclasses.field(
        default_factory=dict
    )
    unanswered_loads: list[StrayLoad] = dataclasses.field(default_factory=list)
    stray_loads: list[StrayLoad] = dataclasses.field(default_factory=list)
    adapters: events.AdaptersReported | None = None
    is_reading: bool = False
    reads: int = 0
    earlier_orders: int = 0
    min_planning_read: int = 0
    read_begun_ms: int = clock.NEVER_MS
    is_unreachable: bool = False
    links: dict[str, str] = dataclasses.field(default_factory=dict)
    demand: _demand.Demand = dataclasses.field(default_factory=_demand.Demand)
    quota_book: workspaces.Book = dataclasses.field(
        default_factory=workspaces.Book
    )
    lender: rate_limits.Lender = dataclasses.field(
        default_factory=rate_limits.Lender
    )
    incarnation: str = ''
    kept_since_ms: int = 0
    suspects: quarantine.Suspects = dataclasses.field(
        default_factory=lambda: quarantine.Suspects(
            quarantine.Rules(limit=MAX_KEPT_SUSPECTS)
        )
    )
    permits: dict[str, Permit] = dataclasses.field(default_factory=dict)
    unsettled: quarantine.UnsettledLosses = dataclasses.field(
        default_factory=lambda: quarantine.UnsettledLosses(UNSETTLED_MS)
    )
    clearings_ms: dict[messages.Cleared, int] = dataclasses.field(
        default_factory=dict
    )
    origins: resumption.Origins = dataclasses.field(
        default_factory=resumption.Origins
    )
    histories: dict[str, resumption.VersionHistory] = dataclasses.field(
        default_factory=dict
    )
    last_used_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    order: Order | None = None
    orders: int = 0
    refusals: int = 0
    next_order_ms: int = 0
    logged_held_back: bool = False
    logged_waiting: dict[str, str] = dataclasses.field(default_factory=dict)
    reported: messages.Report | None = None
    reported_to_users: messages.Report | None = None
    reported_ms: int = clock.NEVER_MS
    kept_record: messages.KeptRecord | None = None
    ask_record_ms: int = clock.NEVER_MS
    knows_predecessor: bool = False
    admissions: admission.Admissions = dataclasses.field(
        default_factory=admission.Admissions
    )
    admission_log_second: int = 0
    admission_logs: int = 0

    @property
    def kept_revision(self) -> int:
        """The revision of the kept configuration record, 0 for none."""
        return 0 if self.kept_record is None else self.kept_record.revision

    def learn_endpoint(self, named: messages.Incarnation) -> None:
        """Use the incarnation that a gateway has from the instance list.

        An incarnation that has ended is ignored, and so is one with another
        start time than the endpoint reports: that gateway has an outdated
        list. One with the right start time replaces a name that was only
        assumed to stay the same over a restart.
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

    def mark_endpoint_ended(self) -> None:
        """Mark the current incarnation as ended and look for the next one.

        A gateway with an outdated instance list may still name the old
        incarnation; without the mark the loader would send orders to it again
        and again. Other gateways may already name the next incarnation.
        """
        if self.endpoint is not None:
            self.ended.pop(self.endpoint, None)
            self.ended[self.endpoint] = None
        bounded.drop_oldest(self.ended, MAX_ENDED_INCARNATIONS)
        self.endpoint = None
        for last in self.demand.by_gateway.values():
            self.learn_endpoint(last.demands.incarnation)

    def reset_for_restart(self, started_ms: int) -> None:
        """Reset what was known of the endpoint before it restarted.

        Its name may have stayed the same, which the instance list shows
        seconds later or, in an outage of the store, not at all. Orders are
        therefore sent under the old name, so that it starts to load at once;
        if it has another name, it refuses the order without harm.
        """
        before = self.endpoint
        self.stray_loads += self.unanswered_loads
        self.unanswered_loads = []
        self.order = None
        self.refusals = 0
        self.next_order_ms = 0
        self.last_used_ms = {}
        self.earlier_orders = 0
        self.mark_endpoint_ended()
        if self.endpoint is None and before is not None and started_ms:
            candidate = messages.Incarnation(before.name, started_ms)
            if candidate not in self.ended:
                self.endpoint = candidate

    @property
    def slots(self) -> int:
        """The number of adapters that the loader may have the endpoint hold.

        A stray load takes a slot that was not planned for, and an endpoint
        that is asked to hold more than it can crashes. One slot is therefore
        kept free for each stray load until the endpoint has accepted so many
        orders that the load is no longer valid.
        """
        max_slots = self.demand.slots
        accepted = 0 if self.adapters is None else self.adapters.orders
        valid_strays = sum(
            stray.expected >= accepted for stray in self.stray_loads
        )
        return max(min(max_slots, 1), max_slots - valid_strays)

    @property
    def model_load(self) -> messages.ModelLoad:
        """The state of the endpoint's load of its model from the store."""
        adapters = self.adapters
        models = self.demand.models
        if adapters is None or adapters.models or not models:
            return messages.ModelLoad.NONE
        if models[0] in adapters.local_models:
            return messages.ModelLoad.NONE
        if adapters.busy:
            return messages.ModelLoad.UNDER_WAY
        return messages.ModelLoad.NEEDED

    @property
    def is_model_held_back(self) -> bool:
        """Whether the model waits for its turn with the weight store.

        Gateways that don't see each other may disagree. One that allows the
        load is enough, or else all endpoints might wait forever.
        """
        if self.model_load is not messages.ModelLoad.NEEDED:
            return False
        return self.demand.is_model_held_back
