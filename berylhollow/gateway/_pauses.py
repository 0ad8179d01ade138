"""Retry times for callers while endpoints pause after refusing requests."""

from berylhollow.gateway import _resumption
from berylhollow.gateway import _state

JITTER_SHARE = 0.25
"""Jitter as a share of the wait, so that refused callers don't all retry at
once."""


def retry_after_ms(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> int:
    """Return how long until a pause ends and a caller may retry.

    Returns 0 if pauses are not why no endpoint was found: one is usable now,
    or no usable endpoint is in a pause.
    """
    waits = []
    for name in state.placement.names(active.service):
        endpoint = state.endpoints[name]
        if not _resumption.may_run_at(state, active, name):
            continue
        if endpoint.is_usable_at(at_ms):
            return 0
        if endpoint.is_usable and endpoint.paused_until_ms > at_ms:
            waits.append(endpoint.paused_until_ms - at_ms)
    soonest_ms = min(waits, default=0)
    return soonest_ms + int(active.seed * JITTER_SHARE * soonest_ms)
