"""Admits prompts to the endpoint in the order that ``admission`` decides."""

from berylhollow import admission
from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.loader import _state
from berylhollow import messages

Effects = list[effects.Effect]

MAX_LOGS_PER_S = 50
NO_PLACE_MS = -1
"""Sent as the wait of a request for which the queue has no place."""


def wanted(state: _state.State, event: events.MessageReceived) -> Effects:
    """Grant a request, or queue it and tell its gateway the expected wait."""
    message: messages.AdmissionWanted = event.message
    admissions = state.admissions
    grants = admissions.want(event.peer, message, event.at_ms)
    done = _send(state, grants, event.at_ms)
    asked = (event.peer, message.request_id)
    if any((one.gateway, one.request_id) == asked for one in grants):
        return done
    wait_ms = admissions.queued_wait_ms(*asked)
    if wait_ms is None:
        wait_ms = NO_PLACE_MS
        done.append(_count(state, 'no_place'))
    answer = messages.AdmissionQueued(message.request_id, wait_ms)
    return [*done, effects.Send(event.peer, answer)]


def ended(state: _state.State, event: events.MessageReceived) -> Effects:
    """Take a request out that has begun, or is not sent."""
    message: messages.AdmissionEnded = event.message
    grants = state.admissions.end(
        event.peer, message.request_id, message.begun, event.at_ms
    )
    return _send(state, grants, event.at_ms)


def drop_gateway(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Drop what a gateway without a link waits for."""
    return _send(state, state.admissions.drop_gateway(peer, at_ms), at_ms)


def reset(state: _state.State, at_ms: int) -> Effects:
    """Forget what was granted before the endpoint restarted."""
    return _send(state, state.admissions.reset(at_ms), at_ms)


def record_gap(state: _state.State, event: events.MessageReceived) -> None:
    """Note the longest gap in answers that a gateway reports."""
    message: messages.AdapterDemands = event.message
    state.admissions.record_gap(message.longest_gap_ms, event.at_ms)


def advance(state: _state.State, at_ms: int) -> Effects:
    """Grant what became possible as the time passed."""
    return _send(state, state.admissions.advance(at_ms), at_ms)


def _send(
    state: _state.State, grants: list[admission.Grant], at_ms: int
) -> Effects:
    done: Effects = []
    expired = state.admissions.take_expired()
    if expired:
        done.append(_count(state, 'expired', expired))
    for grant in grants:
        message = messages.AdmissionGranted(grant.request_id)
        done.append(effects.Send(grant.gateway, message))
        done.append(_count(state, 'waited' if grant.waited_ms else 'at_once'))
        if grant.waited_ms and _may_log(state, at_ms):
            done.append(_log(state, grant))
    return done


def _may_log(state: _state.State, at_ms: int) -> bool:
    """Count a log line; tell whether this second has room for it."""
    second = at_ms // clock.MS_PER_SECOND
    if second != state.admission_log_second:
        state.admission_log_second = second
        state.admission_logs = 0
    state.admission_logs += 1
    return state.admission_logs <= MAX_LOGS_PER_S


def _log(state: _state.State, grant: admission.Grant) -> effects.Log:
    fields = (
        ('request_id', grant.request_id),
        ('gateway', grant.gateway),
        ('waited_ms', grant.waited_ms),
        ('tokens', grant.tokens),
        ('batch_tokens', grant.batch_tokens),
        ('budget_tokens', grant.budget_tokens),
        ('queue', state.admissions.waiting),
    )
    return effects.Log('admission granted', fields)


def _count(state: _state.State, outcome: str, value: int = 1) -> effects.Count:
    attributes = (
        ('berylhollow.service', state.options.service),
        ('berylhollow.outcome', outcome),
    )
    return effects.Count('berylhollow.admissions', value, attributes)
