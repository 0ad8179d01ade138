"""Which empty endpoint loads its model from the weight store first.

The store serves few loads at full speed, and makes each take longer in
proportion beyond. Guards against endpoints that are all replaced within some
seconds and load all at once: five loads of 4.3 s each were ready together
after 21 s, and until then nothing was served; one after the other the first
serves after 4.3 s, the second after 8.6. No process decides for all: every
gateway ranks the same reports in the same way, and tells the sidecars.
"""

from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.policy import rendezvous

ENDPOINTS_PER_LOAD = 6
"""One load at full speed for each six endpoints: the users' stores serve one
at a time for five and six endpoints, three for twenty."""


def hold(state: _state.State, name: str) -> bool:
    """Tell whether an endpoint is to leave the store to others for now.

    One that has not said yet that it needs its model is held too: endpoints
    that start together would all be told to go ahead before any has.
    """
    endpoint = state.endpoints[name]
    if not endpoint.usable:
        return True
    service = endpoint.instance.service
    waiting = [
        (_order(other, state.endpoints[other]), other)
        for other in state.model_loads.get(service, ())
        if state.endpoints[other].usable
    ]
    members = len(state.placement.names(service))
    at_once = max(1, members // ENDPOINTS_PER_LOAD)
    return name not in [other for _, other in sorted(waiting)[:at_once]]


def note(state: _state.State, name: str) -> None:
    """Keep by service who needs the store, so that nobody looks at all."""
    endpoint = state.endpoints[name]
    service = endpoint.instance.service
    report = endpoint.report
    if report is None or report.model_load is messages.ModelLoad.NONE:
        forget(state, name, service)
    else:
        state.model_loads.setdefault(service, {})[name] = None


def forget(state: _state.State, name: str, service: str) -> None:
    """An endpoint needs the store no more, or is gone."""
    waiting = state.model_loads.get(service)
    if waiting is None:
        return
    waiting.pop(name, None)
    if not waiting:
        del state.model_loads[service]


def _order(name: str, endpoint: _state.Endpoint) -> tuple[bool, int]:
    """Order by who loads already, then the same at every gateway."""
    under_way = endpoint.report.model_load is messages.ModelLoad.UNDER_WAY
    return not under_way, rendezvous.digest(name)
