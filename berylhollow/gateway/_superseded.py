"""The time within which a superseded adapter version may begin to run.

An endpoint checks the version of a request when it arrives, not when it
begins, which may be seconds later. The limit is therefore kept in three steps:
a superseded version is sent only where the request is expected to begin early
enough; then the sidecar is told of requests that must not begin, and replaces
the version if that makes the endpoint return them at once; an attempt that has
still not begun to answer shortly before the limit is ended.
"""

from berylhollow.gateway import _backlog
from berylhollow.gateway import _state
from berylhollow import messages

REPLACE_SHARE = 0.7
"""Share of the limit after which no request should begin any more. A version
is not offered that would begin later, and is to be replaced where requests are
still queued with it: the order has to arrive, and may have to be repeated."""

WAIT_MARGIN = 2.0
"""How much longer than expected a request may wait. The expectation leaves out
what was sent by other gateways since their last reports."""

END_SHARE = 0.9
"""Share of the limit after which an attempt that has not begun is ended. The
rest covers the way of the cancellation to the endpoint."""


def may_be_offered(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    adapter: messages.AdapterVersion,
    at_ms: int,
) -> bool:
    """Tell whether a request is expected to begin early enough there."""
    superseded_ms = superseded_for_ms(state, adapter, at_ms)
    if superseded_ms is None:
        return True
    wait_ms = _backlog.before(state, state.endpoints[name], active)
    return superseded_ms + WAIT_MARGIN * wait_ms < _replace_after_ms(state)


def is_queued(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether its attempt has an old version and has not begun."""
    return _queued_for_ms(state, active, at_ms) is not None


def is_overdue(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether its attempt has an old version and must not begin."""
    queued_ms = _queued_for_ms(state, active, at_ms)
    return queued_ms is not None and queued_ms >= _replace_after_ms(state)


def must_end(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether its attempt must be ended, as it might begin too late."""
    queued_ms = _queued_for_ms(state, active, at_ms)
    limit_ms = END_SHARE * state.options.version_limit_ms
    return queued_ms is not None and queued_ms >= limit_ms


def superseded_for_ms(
    state: _state.State, adapter: messages.AdapterVersion | None, at_ms: int
) -> int | None:
    """Return how long a newer version has been known, None if none is."""
    configuration = state.follower.current
    if adapter is None or configuration is None:
        return None
    return configuration.superseded_ms(adapter, at_ms)


def _queued_for_ms(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> int | None:
    if active.phase is not _state.Phase.OFFERED:
        return None
    return superseded_for_ms(state, active.offered_adapter, at_ms)


def _replace_after_ms(state: _state.State) -> float:
    return REPLACE_SHARE * state.options.version_limit_ms
