"""Endpoints that have asked for a pause after turning a request away."""

from berylhollow.gateway import _state

SPREAD_SHARE = 0.25
"""Of the wait: over how much more time refused callers come back."""


def wait_ms(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> int:
    """Return when a caller may come back because a pause ends.

    0 if an endpoint takes requests now, or none will: a pause is not why.
    """
    waits = []
    for name in state.placement.names(active.service):
        endpoint = state.endpoints[name]
        if endpoint.usable_at(at_ms):
            return 0
        if endpoint.usable and endpoint.paused_until_ms > at_ms:
            waits.append(endpoint.paused_until_ms - at_ms)
    soonest_ms = min(waits, default=0)
    return soonest_ms + int(active.seed * SPREAD_SHARE * soonest_ms)
