"""Outlier ejection: an endpoint that keeps failing gets a pause.

Guards against an endpoint that fails fast: it always has room, so the
least-loaded choice would send it everything. It shows as a service that
fails most of its requests with one endpoint bad.
"""

from berylhollow import errors
from berylhollow.gateway import _state

FAILURES = frozenset(
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


def succeeded(endpoint: _state.Endpoint) -> None:
    """An answer came whole: the endpoint's failures no longer count."""
    endpoint.failures = 0
    endpoint.ejections = 0


def failed(
    state: _state.State,
    endpoint: _state.Endpoint,
    kind: errors.Kind,
    at_ms: int,
) -> None:
    """Count a failure; eject the endpoint after several in a row."""
    if kind not in FAILURES:
        return
    endpoint.failures += 1
    if endpoint.failures < state.options.eject_failures:
        return
    if not _others_suffice(state, endpoint, at_ms):
        return
    doublings = min(endpoint.ejections, MAX_DOUBLINGS)
    endpoint.ejections += 1
    endpoint.failures = 0
    pause_ms = state.options.eject_ms * 2**doublings
    endpoint.ejected_until_ms = at_ms + pause_ms


def _others_suffice(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> bool:
    """Tell whether at least half of the service stays without it.

    Guards against ejecting everybody when what fails is common to all.
    """
    service = endpoint.instance.service
    members = [
        other
        for other in state.endpoints.values()
        if other.instance.service == service
    ]
    left = sum(
        other.usable_at(at_ms) and other is not endpoint for other in members
    )
    return left * 2 >= len(members)
