"""Outlier ejection: endpoints that keep failing get no requests for a time.

Guards against an endpoint that fails fast. It always has spare capacity, so
least-loaded routing would send it everything, and a single bad endpoint would
fail most requests of its service.
"""

from berylhollow import errors
from berylhollow.gateway import _state

FAILURE_KINDS = frozenset(
    {
        errors.Kind.ENDPOINT_FAILED,
        errors.Kind.ENDPOINT_UNREACHABLE,
        errors.Kind.ENGINE_RESTARTED,
        errors.Kind.LOAD_FAILED,
        errors.Kind.STREAM_BROKEN,
        errors.Kind.WRONG_ADAPTER,
    }
)
MAX_DOUBLINGS = 5


def record_success(endpoint: _state.Endpoint) -> None:
    """Reset an endpoint's failures after a complete answer."""
    endpoint.failures = 0
    endpoint.ejections = 0


def record_failure(
    state: _state.State,
    endpoint: _state.Endpoint,
    kind: errors.Kind,
    at_ms: int,
) -> None:
    """Count a failure; eject the endpoint after several in a row."""
    if kind not in FAILURE_KINDS:
        return
    endpoint.failures += 1
    if endpoint.failures < state.options.eject_failures:
        return
    if not _has_enough_others(state, endpoint, at_ms):
        return
    doublings = min(endpoint.ejections, MAX_DOUBLINGS)
    endpoint.ejections += 1
    endpoint.failures = 0
    pause_ms = state.options.eject_ms * 2**doublings
    endpoint.ejected_until_ms = at_ms + pause_ms


def _has_enough_others(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> bool:
    """Tell whether half of the service's endpoints are usable without this.

    Guards against ejecting all endpoints when they share a cause of failure.
    """
    service = endpoint.instance.service
    members = [
        other
        for other in state.endpoints.values()
        if other.instance.service == service
    ]
    remaining = sum(
        other.is_usable_at(at_ms) and other is not endpoint
        for other in members
    )
    return remaining * 2 >= len(members)
