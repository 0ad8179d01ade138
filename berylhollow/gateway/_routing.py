"""Choice of the endpoint for an attempt."""

from berylhollow.gateway import _fleet
from berylhollow.gateway import _state
from berylhollow import policy


def choose_endpoint(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> str | None:
    """Return the endpoint to offer a request to, None if there is none.

    The routing policy of the settings chooses it from what the gateway knows,
    which may be out of date. The sidecar that gets the offer decides whether
    the request is run.
    """
    request = active.request
    query = policy.RouteQuery(
        adapter=request.adapter,
        caller=request.caller,
        priority=request.priority,
        remaining_ms=active.deadline_ms - at_ms,
        output_tokens=request.output_tokens,
        weights=policy.service_weights(state.follower.current, active.service),
        seed=active.seed,
    )
    fleet = _fleet.Fleet(state, active, at_ms)
    name = state.adapter_policy.router.choose(query, fleet)
    if name is not None and request.adapter is not None:
        state.placement.expect(request.adapter, name, at_ms)
    return name
