"""Attempts whose link to an endpoint has opened or closed."""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _attempts
from berylhollow.gateway import _containment
from berylhollow.gateway import _link_pacing
from berylhollow.gateway import _state

Effects = list[effects.Effect]


def opened(state: _state.State, event: events.LinkOpened) -> Effects:
    """Mark a link as open and resume the attempts in flight on it."""
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return state.follower.handle(event)
    endpoint.link = _state.LinkPhase.OPEN
    if endpoint.incarnation != event.incarnation:
        endpoint.refusals = 0
        endpoint.leaving = endpoint.instance.leaving
        state.placement.replace(event.peer, endpoint.report, None)
        endpoint.report = None
    endpoint.incarnation = event.incarnation
    if endpoint.has_moved:
        endpoint.leaving = True
    if not endpoint.leaving:
        endpoint.refusals = 0
    result = state.follower.handle(event)
    for attempt_id in sorted(endpoint.attempts_in_flight):
        active = state.request_of(attempt_id)
        if active is not None:
            result += _resume_attempt(state, active, event)
    return result


def closed(state: _state.State, event: events.LinkClosed) -> Effects:
    """Mark a link as closed and set the deadline to resume its attempts."""
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return state.follower.handle(event)
    endpoint.link = _state.LinkPhase.CLOSED
    endpoint.retry_link_at_ms = event.at_ms + _reopen_delay_ms(
        state, event.peer
    )
    for attempt_id in endpoint.attempts_in_flight:
        active = state.request_of(attempt_id)
        if active is not None and active.resume_by_ms is None:
            active.resume_by_ms = event.at_ms + state.options.resume_ms
    return state.follower.handle(event)


def _reopen_delay_ms(state: _state.State, peer: str) -> int:
    """Return the delay before a closed link is opened again.

    There is none if attempts are in flight on the link. A link to a draining
    endpoint is opened only to detect a new process at its address.
    """
    endpoint = state.endpoints[peer]
    if endpoint.attempts_in_flight or endpoint.has_moved:
        return 0
    if not endpoint.leaving:
        return _link_pacing.first_pause_ms(state, peer)
    endpoint.refusals += 1
    pause_ms = _link_pacing.pause_ms(state, peer, endpoint.refusals)
    return max(pause_ms, state.options.leaving_retry_ms)


def _resume_attempt(
    state: _state.State,
    active: _state.ActiveRequest,
    event: events.LinkOpened,
) -> Effects:
    """Resume an attempt, or fail it if the endpoint's process is new.

    A new incarnation knows nothing of the attempt, but the old one may have
    run it, so the outcome is unknown.
    """
    if active.incarnation != event.incarnation:
        return _containment.handle_request(
            _attempts.resume_failed, state, active, event.at_ms
        )
    active.resume_by_ms = None
    active.resumed = True
    return [effects.ResumeAnswer(event.peer, active.attempt_id)]
