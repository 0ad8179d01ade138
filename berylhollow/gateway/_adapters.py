"""Adapters at direct endpoints: who waits for which, and where.

A direct endpoint refuses a request whose adapter it does not hold, so what
is known here is only a hint that saves the trip. Its sidecar loads what the
gateways ask it for.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow.gateway import _backlog
from berylhollow.gateway import _model_loads
from berylhollow.gateway import _shared_reads
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.util import addresses

Effects = list[effects.Effect]


def version_at(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> messages.AdapterVersion | None:
    """Return the version of its adapter that a request may run on there.

    None if the endpoint holds none, or the request needs none. Behind a
    link the sidecar decides, so the version that was asked for is returned.
    """
    wanted = active.request.adapter
    if wanted is None or not state.endpoints[name].instance.direct:
        return wanted
    for version in state.follower.current.acceptable(wanted, at_ms):
        if name in state.placement.ready.get(version, ()):
            return version
    return None


def ready(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> bool:
    """Tell whether a request can be sent to an endpoint at once."""
    if active.request.adapter is None:
        return True
    return version_at(state, active, name, at_ms) is not None


def may_wait(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether waiting for the adapter still makes sense.

    Past a share of the objective the answer would be late whatever happens;
    refused in time, the request may come back when the adapter is there.
    """
    since_ms = active.awaiting_since_ms
    if since_ms is None:
        return True
    objective_ms = active.objective_ms or active.request.deadline_ms
    longest_ms = state.options.adapter_wait_share * objective_ms
    return at_ms - since_ms < longest_ms


def wait(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> Effects:
    """Ask for the adapter at an endpoint and look again soon."""
    first = active.awaiting != name
    if active.awaiting_since_ms is None:
        active.awaiting_since_ms = at_ms
    if first:
        leave(state, active)
        active.awaiting = name
        waiting = state.awaiting.setdefault(name, {})
        waiting[active.request.request_id] = None
        _backlog.awaited(state.endpoints[name], active)
    active.retry_at_ms = at_ms + state.options.adapter_check_ms
    if not first:
        return []
    done = tell(state, _sidecar_of(state, name), at_ms)
    fields = (
        ('request_id', active.request.request_id),
        ('adapter', str(active.request.adapter)),
        ('endpoint', name),
        ('waited_ms', at_ms - active.awaiting_since_ms),
    )
    return [*done, effects.Log('request waits for its adapter', fields)]


def leave(state: _state.State, active: _state.ActiveRequest) -> None:
    """The request no longer waits where it did."""
    name = active.awaiting
    active.awaiting = ''
    waiting = state.awaiting.get(name, {})
    if active.request.request_id in waiting:
        del waiting[active.request.request_id]
        _backlog.left(state.endpoints[name], active)


def waiting_at(state: _state.State, name: str) -> list[_state.ActiveRequest]:
    """Return the requests that wait for an adapter at an endpoint."""
    ids = list(state.awaiting.get(name, ()))
    found = (state.requests.get(request_id) for request_id in ids)
    return [active for active in found if active is not None]


def tell(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Tell a sidecar what is needed of its endpoint."""
    sidecar = state.sidecars.get(peer)
    name = state.beside.get(peer, '')
    endpoint = state.endpoints.get(name)
    if sidecar is None or endpoint is None:
        return []
    if sidecar.link is not _state.LinkPhase.OPEN:
        return []
    demands = _demands(state, peer, name, endpoint, at_ms)
    sidecar.told_ms = at_ms
    sidecar.told_tokens = demands.waiting_tokens
    return [effects.Send(peer, demands)]


def use_began(state: _state.State, active: _state.ActiveRequest) -> None:
    """An attempt was placed at its endpoint."""
    _tell_soon(state, active, uses_then=1)


def use_ended(state: _state.State, active: _state.ActiveRequest) -> None:
    """An attempt has left its endpoint."""
    _tell_soon(state, active, uses_then=0)


def _tell_soon(
    state: _state.State, active: _state.ActiveRequest, uses_then: int
) -> None:
    """Tell the sidecar of a use at the next tick, if it has others waiting.

    Only gateways know which adapters are in use. Where every slot is, one
    that falls free is known only by their next word, and stood empty until
    then: a third of the slots' time where runs take half a second. Without
    anybody waiting the regular pause will do, which bounds the traffic; nor
    is anything counted then. ``uses_then`` is how many attempts use an
    adapter that has just come into use, or fallen out of it.
    """
    endpoint = state.endpoints.get(active.endpoint)
    adapter = active.request.adapter
    if endpoint is None or adapter is None or not endpoint.instance.direct:
        return
    sidecar = state.sidecars.get(_sidecar_of(state, active.endpoint))
    if sidecar is None or sidecar.report is None:
        return
    if not sidecar.report.wanted:
        return
    uses = _in_flight(state, endpoint).get(adapter.adapter, 0)
    if uses == uses_then:
        sidecar.told_ms = clock.NEVER_MS


def tick(state: _state.State, at_ms: int) -> Effects:
    """Tell every sidecar now and then: it forgets what it is not told."""
    done: Effects = []
    for peer, sidecar in state.sidecars.items():
        if _due(state, peer, sidecar, at_ms):
            done += tell(state, peer, at_ms)
    return done


def _due(
    state: _state.State, peer: str, sidecar: _state.Sidecar, at_ms: int
) -> bool:
    """Tell whether a sidecar has to be told something now.

    Soon of what is in use or waits at its endpoint: that decides what is
    evicted there and where others send their requests. Of the rest now and
    then: all gateways with all sidecars are thousands of links.
    """
    age_ms = at_ms - sidecar.told_ms
    if age_ms >= state.options.idle_demand_ms:
        return True
    name = state.beside.get(peer, '')
    endpoint = state.endpoints.get(name)
    if endpoint is None:
        return False
    in_use = endpoint.placed or state.awaiting.get(name)
    if in_use and age_ms >= state.options.demand_ms:
        return True
    news = abs(endpoint.waiting_tokens - sidecar.told_tokens)
    return news >= _backlog.NEWS_TOKENS


def _sidecar_of(state: _state.State, name: str) -> str:
    address = state.endpoints[name].instance.address
    return addresses.beside(address)


def _demands(
    state: _state.State,
    peer: str,
    name: str,
    endpoint: _state.Endpoint,
    at_ms: int,
) -> messages.AdapterDemands:
    view = state.follower.current
    service = endpoint.instance.service
    waiting: dict[str, int] = {}
    for active in waiting_at(state, name):
        adapter = active.request.adapter.adapter
        waiting[adapter] = waiting.get(adapter, 0) + 1
    in_flight = _in_flight(state, endpoint)
    held = _held(endpoint)
    entries = []
    for adapter in dict.fromkeys([*waiting, *in_flight, *held]):
        nameless = messages.AdapterVersion(adapter, '')
        newest = view.acceptable(nameless, at_ms)[0]
        holders = len(state.placement.ready.get(newest, ()))
        rate = state.demand.rate(nameless, at_ms)
        entry = messages.AdapterDemand(
            newest,
            waiting.get(adapter, 0),
            in_flight.get(adapter, 0),
            round(rate / max(1, holders), 3),
        )
        if entry.waiting or entry.in_flight or entry.rate:
            entries.append(entry)
    slots = view.adapter_slots(service)
    models = view.models(service)
    incarnation = endpoint.instance.incarnation or messages.Incarnation(name)
    return messages.AdapterDemands(
        incarnation.name,
        service,
        slots,
        models,
        tuple(entries),
        incarnation.started_ms,
        _model_loads.hold(state, name),
        endpoint.waiting_tokens,
        _shared_reads.listens_to(state, peer),
        view.revision,
    )


def _in_flight(
    state: _state.State, endpoint: _state.Endpoint
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for attempt_id in endpoint.placed:
        active = state.request_of(attempt_id)
        if active is None or active.request.adapter is None:
            continue
        adapter = active.request.adapter.adapter
        counts[adapter] = counts.get(adapter, 0) + 1
    return counts


def _held(endpoint: _state.Endpoint) -> list[str]:
    report = endpoint.report
    if report is None:
        return []
    return [slot.adapter.adapter for slot in report.slots if slot.adapter]
