"""Order in which empty endpoints load their model from the weight store.

The store serves a few loads at full speed; with more, each takes longer in
proportion. Guards against endpoints that are all replaced within some seconds
and load at the same time: five loads of 4.3 s each were all ready after 21 s,
and nothing was served until then. One after the other, the first endpoint
serves after 4.3 s and the second after 8.6 s. There is no coordinator: every
gateway ranks the same reports in the same way and tells the sidecars.
"""

from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.policy import rendezvous

ENDPOINTS_PER_LOAD = 6
"""Endpoints of a service for each load that runs at the same time. The users'
stores serve one load at full speed for five or six endpoints, and three for
twenty."""


def should_hold(state: _state.State, name: str) -> bool:
    """Tell whether an endpoint must not load its model yet.

    An endpoint that has not reported yet that it needs its model is held too.
    Otherwise endpoints that start together would all be allowed to load
    before the first of them has reported.
    """
    endpoint = state.endpoints[name]
    if not endpoint.is_usable:
        return True
    service = endpoint.instance.service
    waiting = [
        (_load_sort_key(other, state.endpoints[other]), other)
        for other in state.model_loads.get(service, ())
        if state.endpoints[other].is_usable
    ]
    members = len(state.placement.names(service))
    at_once = max(1, members // ENDPOINTS_PER_LOAD)
    return name not in [other for _, other in sorted(waiting)[:at_once]]


def update_from_report(state: _state.State, name: str) -> None:
    """Update the index of endpoints that need the store from a report."""
    endpoint = state.endpoints[name]
    service = endpoint.instance.service
    report = endpoint.report
    if report is None or report.model_load is messages.ModelLoad.NONE:
        remove_endpoint(state, name, service)
    else:
        state.model_loads.setdefault(service, {})[name] = None


def remove_endpoint(state: _state.State, name: str, service: str) -> None:
    """Remove an endpoint from the index of those that need the store."""
    waiting = state.model_loads.get(service)
    if waiting is None:
        return
    waiting.pop(name, None)
    if not waiting:
        del state.model_loads[service]


def _load_sort_key(name: str, endpoint: _state.Endpoint) -> tuple[bool, int]:
    """Return a sort key: loads under way first, then by digest.

    The digest gives the same order at every gateway.
    """
    is_under_way = endpoint.report.model_load is messages.ModelLoad.UNDER_WAY
    return not is_under_way, rendezvous.digest(name)
