"""Requests that wait for adapters, and the demand reported to sidecars.

A direct endpoint refuses a request whose adapter it does not hold, so what
the gateway knows of it is a hint that saves a round trip. The endpoint's
sidecar loads the adapters that gateways report demand for.
"""

import collections

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _backlog
from berylhollow.gateway import _model_loads
from berylhollow.gateway import _shared_reads
from berylhollow.gateway import _state
from berylhollow.gateway import _superseded
from berylhollow import messages
from berylhollow.util import addresses

Effects = list[effects.Effect]

MAX_URGENCY = 3
"""How many of the least urgent requests a waiting request of priority 0 counts
for when adapters are loaded; each step of priority counts for one less."""

PREDECESSOR_TTL_MS = 30_000
"""How long a gateway reports an earlier start of a sidecar to the present one.
Loads of the earlier start are valid for half of this."""


def runnable_version(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> messages.AdapterVersion | None:
    """Return the adapter version that a request can run with there now.

    None if a direct endpoint holds no acceptable version, or the request
    needs no adapter. For an endpoint that is not direct the sidecar decides,
    so the requested version is returned.
    """
    wanted = active.request.adapter
    if wanted is None or not state.endpoints[name].instance.direct:
        return wanted
    for version in state.follower.current.candidate_versions(wanted):
        if name not in state.placement.ready.get(version, ()):
            continue
        if _superseded.may_be_offered(state, active, name, version, at_ms):
            return version
    return None


def is_ready(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> bool:
    """Tell whether an endpoint has the adapter that a request needs."""
    if active.request.adapter is None:
        return True
    return runnable_version(state, active, name, at_ms) is not None


def may_wait(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether a request may keep waiting for its adapter.

    Once a share of its latency objective has passed, the answer would be late
    anyway. Refused in time, it can be sent again when the adapter is loaded.
    One that fits beside its model nowhere is not waited for.
    """
    configuration = state.follower.current
    if not configuration.can_hold(active.service, active.request.adapter):
        return False
    since_ms = active.awaiting_since_ms
    if since_ms is None:
        return True
    objective_ms = active.objective_ms or active.request.deadline_ms
    longest_ms = state.options.adapter_wait_share * objective_ms
    return at_ms - since_ms < longest_ms


def wait_for_load(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> Effects:
    """Let a request wait for its adapter; report the demand if it is new.

    The request is placed again after a short interval.
    """
    if active.awaiting_since_ms is None:
        active.awaiting_since_ms = at_ms
    is_new = _begin_waiting(state, active, name)
    active.retry_at_ms = at_ms + state.options.adapter_check_ms
    if not is_new:
        return []
    result = send_demands(state, sidecar_peer(state, name), at_ms)
    fields = (
        ('request_id', active.request.request_id),
        ('adapter', str(active.request.adapter)),
        ('endpoint', name),
        ('waited_ms', at_ms - active.awaiting_since_ms),
    )
    return [*result, effects.Log('request waits for its adapter', fields)]


def wait_for_admission(
    state: _state.State, active: _state.ActiveRequest, name: str
) -> None:
    """Let a request wait where its adapter is loaded, which must stay there.

    If it is the first use of its adapter while loads wait for a slot there,
    the sidecar is told with the next tick.
    """
    if not _begin_waiting(state, active, name):
        return
    sidecar = _sidecar_if_loads_wait(state, name)
    if sidecar is None or active.request.adapter is None:
        return
    adapter = active.request.adapter.adapter
    endpoint = state.endpoints[name]
    uses = _waiting_by_adapter(state, name)[adapter]
    uses += _in_flight_by_adapter(state, endpoint).get(adapter, 0)
    if uses == 1:
        sidecar.told_ms = clock.NEVER_MS


def _begin_waiting(
    state: _state.State, active: _state.ActiveRequest, name: str
) -> bool:
    """Count a request as waiting at an endpoint; tell whether that is new."""
    if active.awaiting == name:
        return False
    stop_waiting(state, active)
    active.awaiting = name
    waiting = state.awaiting_adapter.setdefault(name, {})
    waiting[active.request.request_id] = None
    _backlog.add_request(state.endpoints[name], active)
    return True


def stop_waiting(state: _state.State, active: _state.ActiveRequest) -> None:
    """Remove a request from those waiting for an adapter."""
    name = active.awaiting
    if not name:
        return
    active.awaiting = ''
    waiting = state.awaiting_adapter.get(name, {})
    if active.request.request_id in waiting:
        del waiting[active.request.request_id]
        _backlog.remove_request(state.endpoints[name], active)
    # The backlog of an endpoint that was removed is gone. Its tokens would be
    # taken off the endpoint of the last attempt.
    active.queued_tokens = 0


def requests_awaiting_adapter(
    state: _state.State, name: str
) -> list[_state.ActiveRequest]:
    """Return the requests that wait for an adapter at an endpoint."""
    ids = list(state.awaiting_adapter.get(name, ()))
    found = (state.requests.get(request_id) for request_id in ids)
    return [active for active in found if active is not None]


def send_demands(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Send a sidecar the adapter demand at its endpoint."""
    sidecar = state.sidecars.get(peer)
    name = state.endpoint_by_peer.get(peer, '')
    endpoint = state.endpoints.get(name)
    if sidecar is None or endpoint is None:
        return []
    if sidecar.link is not _state.LinkPhase.OPEN:
        return []
    demands = _build_demands(state, peer, name, endpoint, at_ms)
    sidecar.told_ms = at_ms
    sidecar.told_tokens = demands.waiting_tokens
    endpoint.longest_gap_ms = 0
    return [effects.Send(peer, demands)]


def note_attempt_placed(
    state: _state.State, active: _state.ActiveRequest
) -> None:
    """Report the adapter's use soon if this attempt is its first there."""
    _report_use_change(state, active, uses_at_change=1)


def note_attempt_removed(
    state: _state.State, active: _state.ActiveRequest
) -> None:
    """Report the adapter's use soon if no attempt uses it there any more."""
    _report_use_change(state, active, uses_at_change=0)


def _report_use_change(
    state: _state.State, active: _state.ActiveRequest, uses_at_change: int
) -> None:
    """Report demand at the next tick if loads wait and a use has changed.

    Only gateways know which adapters are in use. When all slots are in use,
    the sidecar learns of a free one from the gateways' next report. With
    reports at the regular interval only, slots stood empty for a third of the
    time where runs take half a second. While no load waits there, the regular
    interval is enough and bounds the traffic, and no uses are counted.

    ``uses_at_change`` is the number of attempts using the adapter right after
    its use has begun (1) or ended (0).
    """
    endpoint = state.endpoints.get(active.endpoint)
    adapter = active.request.adapter
    if endpoint is None or adapter is None or not endpoint.instance.direct:
        return
    sidecar = _sidecar_if_loads_wait(state, active.endpoint)
    if sidecar is None:
        return
    uses = _in_flight_by_adapter(state, endpoint).get(adapter.adapter, 0)
    if uses == uses_at_change:
        sidecar.told_ms = clock.NEVER_MS


def _sidecar_if_loads_wait(
    state: _state.State, name: str
) -> _state.Sidecar | None:
    """Return the sidecar beside an endpoint if loads wait there."""
    sidecar = state.sidecars.get(sidecar_peer(state, name))
    if sidecar is None or sidecar.report is None:
        return None
    return sidecar if sidecar.report.wanted else None


def report_overdue(state: _state.State, active: _state.ActiveRequest) -> None:
    """Report an attempt as overdue with this tick, once."""
    if active.is_overdue_reported:
        return
    active.is_overdue_reported = True
    sidecar = state.sidecars.get(sidecar_peer(state, active.endpoint))
    if sidecar is not None:
        sidecar.told_ms = clock.NEVER_MS


def tick(state: _state.State, at_ms: int) -> Effects:
    """Send demand reports that are due; sidecars forget old ones."""
    result: Effects = []
    for peer, sidecar in state.sidecars.items():
        if _is_demand_due(state, peer, sidecar, at_ms):
            result += send_demands(state, peer, at_ms)
    return result


def _is_demand_due(
    state: _state.State, peer: str, sidecar: _state.Sidecar, at_ms: int
) -> bool:
    """Tell whether a sidecar is due a report of the demand.

    Adapters in use and waiting requests are reported at short intervals,
    since they decide what the sidecar evicts and where other gateways send
    their requests. Idle endpoints get reports at a long interval, because all
    gateways and all sidecars together have thousands of links.
    """
    age_ms = at_ms - sidecar.told_ms
    if age_ms >= state.options.idle_demand_ms:
        return True
    name = state.endpoint_by_peer.get(peer, '')
    endpoint = state.endpoints.get(name)
    if endpoint is None:
        return False
    in_use = endpoint.attempts_in_flight or state.awaiting_adapter.get(name)
    if in_use and age_ms >= state.options.demand_ms:
        return True
    change = abs(endpoint.waiting_tokens - sidecar.told_tokens)
    return change >= _backlog.MIN_REPORTED_CHANGE_TOKENS


def sidecar_peer(state: _state.State, name: str) -> str:
    """Return the peer name of the sidecar beside an endpoint."""
    address = state.endpoints[name].instance.address
    return addresses.sidecar_peer(address)


def _build_demands(
    state: _state.State,
    peer: str,
    name: str,
    endpoint: _state.Endpoint,
    at_ms: int,
) -> messages.AdapterDemands:
    """Return the message that reports the demand at an endpoint."""
    configuration = state.follower.current
    service = endpoint.instance.service
    waiting = _waiting_by_adapter(state, name)
    urgency = _urgency_by_adapter(state, name)
    in_flight = _in_flight_by_adapter(state, endpoint)
    queued, overdue = _queued_by_adapter(state, endpoint, at_ms)
    held = _held_adapters(endpoint)
    entries = []
    for adapter in dict.fromkeys([*waiting, *in_flight, *held]):
        any_version = messages.AdapterVersion(adapter, '')
        newest = configuration.candidate_versions(any_version)[0]
        holders = len(state.placement.ready.get(newest, ()))
        rate = state.demand.rate(any_version, at_ms)
        entry = messages.AdapterDemand(
            newest,
            waiting[adapter],
            in_flight.get(adapter, 0),
            round(rate / max(1, holders), 3),
            queued[adapter],
            overdue[adapter],
            urgency[adapter],
        )
        if entry.waiting or entry.in_flight or entry.rate:
            entries.append(entry)
    models = configuration.models(service)
    # An endpoint that holds none loads the first model of its service.
    slots = configuration.adapter_room(
        service, endpoint.instance.models or models[:1]
    )
    incarnation = endpoint.instance.incarnation or messages.Incarnation(name)
    return messages.AdapterDemands(
        incarnation.name,
        service,
        slots,
        models,
        tuple(entries),
        incarnation.started_ms,
        _model_loads.should_hold(state, name),
        endpoint.waiting_tokens,
        _shared_reads.listens_to(state, peer),
        configuration.revision,
        _predecessor_ms(state.sidecars[peer], at_ms),
        tells_clearings=True,
        longest_gap_ms=endpoint.longest_gap_ms,
    )


def _predecessor_ms(sidecar: _state.Sidecar, at_ms: int) -> int:
    """Return how long ago an earlier start of a sidecar was heard from."""
    age_ms = at_ms - sidecar.predecessor_heard_ms
    return age_ms if age_ms < PREDECESSOR_TTL_MS else -1


def _waiting_by_adapter(
    state: _state.State, name: str
) -> collections.Counter[str]:
    """Return how many requests wait for each adapter at an endpoint."""
    return collections.Counter(
        request.adapter.adapter
        for request in _requests_for_adapters(state, name)
    )


def _urgency_by_adapter(
    state: _state.State, name: str
) -> collections.Counter[str]:
    """Count the requests that wait for each adapter by their priority.

    Empty for a service whose prompts are not admitted.
    """
    urgency: collections.Counter[str] = collections.Counter()
    service = state.endpoints[name].instance.service
    if state.follower.current.admission(service) is None:
        return urgency
    for request in _requests_for_adapters(state, name):
        weight = max(1, MAX_URGENCY - request.priority)
        urgency[request.adapter.adapter] += weight
    return urgency


def _requests_for_adapters(
    state: _state.State, name: str
) -> list[events.Request]:
    """Return the requests that wait at an endpoint and need an adapter.

    One without an adapter may wait there for its admission.
    """
    waiting = requests_awaiting_adapter(state, name)
    requests = (active.request for active in waiting)
    return [request for request in requests if request.adapter is not None]


def _in_flight_by_adapter(
    state: _state.State, endpoint: _state.Endpoint
) -> dict[str, int]:
    """Return how many attempts use each adapter at an endpoint."""
    counts: dict[str, int] = {}
    for attempt_id in endpoint.attempts_in_flight:
        active = state.request_of(attempt_id)
        if active is None or active.request.adapter is None:
            continue
        adapter = active.request.adapter.adapter
        counts[adapter] = counts.get(adapter, 0) + 1
    return counts


def _queued_by_adapter(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Count attempts with an old version that have not begun, by adapter.

    The second count has those of them that must not begin any more.
    """
    queued: collections.Counter[str] = collections.Counter()
    overdue: collections.Counter[str] = collections.Counter()
    for attempt_id in endpoint.attempts_in_flight:
        active = state.request_of(attempt_id)
        if active is None or not _superseded.is_queued(state, active, at_ms):
            continue
        adapter = active.offered_adapter.adapter
        queued[adapter] += 1
        overdue[adapter] += _superseded.is_overdue(state, active, at_ms)
    return queued, overdue


def _held_adapters(endpoint: _state.Endpoint) -> list[str]:
    """Return the adapters in an endpoint's slots, as last reported."""
    report = endpoint.report
    if report is None:
        return []
    return [slot.adapter.adapter for slot in report.slots if slot.adapter]
