"""Attempts: offer a request to a sidecar, follow it, try another.

An attempt is offered once and to one sidecar. After a broken link the
gateway asks to resume; it never offers the same attempt again, since the
first offer may have arrived.
"""

import dataclasses

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _adapters
from berylhollow.gateway import _backlog
from berylhollow.gateway import _budget
from berylhollow.gateway import _crashes
from berylhollow.gateway import _decisions
from berylhollow.gateway import _ejection
from berylhollow.gateway import _limits
from berylhollow.gateway import _pauses
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _quotas
from berylhollow.gateway import _rate_limits
from berylhollow.gateway import _routing
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow.gateway import _workspaces
from berylhollow import messages

Effects = list[effects.Effect]
# Another endpoint would say the same.
FINAL_KINDS = frozenset(
    {
        errors.Kind.CANCELLED,
        errors.Kind.CANNOT_BE_ON_TIME,
        errors.Kind.DEADLINE_EXCEEDED,
        errors.Kind.QUARANTINED,
    }
)
# The endpoint went down with the attempt.
LOST_KINDS = frozenset(
    {errors.Kind.ENGINE_RESTARTED, errors.Kind.OUTCOME_UNKNOWN}
)
# The endpoint takes nothing more under this name, whatever the list says.
GONE_KINDS = frozenset({errors.Kind.ENDPOINT_REPLACED, errors.Kind.LEAVING})
# Tried again after a pause, with jitter: the endpoints are busy.
PAUSED_KINDS = frozenset({errors.Kind.OVERLOADED})

RESTARTED_PAUSES = 6
"""Pauses after a refusal by an engine that restarted: two attempts later its
sidecar has read its status, which it does twice a second."""


def place(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Offer a waiting request to the endpoint that suits it best."""
    if active.attempts >= state.options.attempts:
        return give_up(
            state, active, errors.Kind.OVERLOADED, errors.Ran.NOT_RUN
        )
    active.retry_at_ms = None
    refused_ms = _quarantine.refused_ms(state, active.request, at_ms)
    if refused_ms:
        kind = errors.Kind.QUARANTINED
        return give_up(state, active, kind, errors.Ran.NOT_RUN, refused_ms)
    refusal = _workspaces.refused(state, active, at_ms)
    if refusal is not None:
        return give_up(
            state,
            active,
            refusal.kind,
            errors.Ran.NOT_RUN,
            refusal.retry_after_ms,
        )
    wait_ms = _quotas.over(state, active, at_ms)
    if wait_ms:
        kind = errors.Kind.QUOTA_EXCEEDED
        return give_up(state, active, kind, errors.Ran.NOT_RUN, wait_ms)
    asked = _rate_limits.missed(state, active, at_ms)
    name = _routing.choose(state, active, at_ms)
    if name is None:
        return asked + _nowhere(state, active, at_ms)
    if not _adapters.ready(state, active, name, at_ms):
        return asked + _await_adapter(state, active, name, at_ms)
    return asked + _offer(state, active, name, at_ms)


def _await_adapter(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> Effects:
    """Let a request wait for its adapter, unless that would take too long."""
    if not _adapters.may_wait(state, active, at_ms):
        retry_after_ms = state.options.adapter_retry_ms
        kind = errors.Kind.LOAD_FAILED
        return give_up(state, active, kind, errors.Ran.NOT_RUN, retry_after_ms)
    return _adapters.wait(state, active, name, at_ms)


def _nowhere(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """No endpoint is left to try: say what the last one said.

    A gateway that has just started may only not have its links yet. Guards
    against requests that fail when all gateways are replaced at once and the
    balancer has nobody else.
    """
    limited = _rate_limits.without_room(state, active, at_ms)
    if limited and not active.may_have_run:
        return _no_room(state, active, limited, at_ms)
    pause_ms = _pauses.wait_ms(state, active, at_ms)
    if pause_ms and not active.may_have_run:
        kind = errors.Kind.OVERLOADED
        return give_up(state, active, kind, errors.Ran.NOT_RUN, pause_ms)
    last = active.last_refusal
    if last is None and at_ms < state.settled_ms:
        active.retry_at_ms = at_ms + state.options.retry_pause_ms
        return []
    if last is None:
        return give_up(
            state, active, errors.Kind.NO_ENDPOINT, errors.Ran.NOT_RUN
        )
    return give_up(state, active, last.kind, last.ran, last.retry_after_ms)


def _no_room(
    state: _state.State,
    active: _state.ActiveRequest,
    limited: list[_state.Endpoint],
    at_ms: int,
) -> Effects:
    """Only endpoints whose limit is used up are left.

    Refused at once with the time at which there is room, unless a lender
    was asked and answers in a moment.
    """
    if _rate_limits.may_await(active, limited, at_ms):
        _adapters.leave(state, active)
        active.retry_at_ms = at_ms + state.options.retry_pause_ms
        return []
    return give_up(
        state,
        active,
        errors.Kind.OVERLOADED,
        errors.Ran.NOT_RUN,
        _rate_limits.wait_ms(limited, active.seed, at_ms),
    )


def started(state: _state.State, event: events.MessageReceived) -> Effects:
    """The endpoint began to answer: this attempt's answer is the one."""
    message = event.message
    active = _current(state, event)
    if active is None or active.phase is not _state.Phase.OFFERED:
        return []
    _backlog.started(state, active, event.at_ms)
    active.phase = _state.Phase.RELAYING
    return [
        effects.BeginAnswer(
            active.request.request_id,
            active.attempt_id,
            event.peer,
            message.status,
            message.headers,
            message.adapter,
            message.stalled_ms,
        )
    ]


def ended(state: _state.State, event: events.MessageReceived) -> Effects:
    """The endpoint's answer is whole at the sidecar."""
    active = _current(state, event)
    if active is None or active.phase is not _state.Phase.RELAYING:
        return []
    return [
        effects.CompleteAnswer(
            active.request.request_id,
            active.attempt_id,
            event.message.count,
        )
    ]


def failed(state: _state.State, event: events.MessageReceived) -> Effects:
    """An attempt ended without a whole answer: try another, or give up."""
    active = _current(state, event)
    if active is None:
        return []
    message = _believed(state, active, event)
    told: Effects = []
    if message.kind in GONE_KINDS:
        state.endpoints[event.peer].leaving = True
    if message.kind is errors.Kind.ENDPOINT_REPLACED:
        told = _crashes.over(state, event.peer, event.at_ms)
    _crashes.cut_off(state, active, message, event.at_ms)
    return told + _attempt_lost(state, active, message, event.at_ms)


def _believed(
    state: _state.State,
    active: _state.ActiveRequest,
    event: events.MessageReceived,
) -> messages.Failed:
    """Doubt a "not run" that may only mean that the run was forgotten.

    A sidecar remembers ended attempts for a time. A gateway that was paused
    for longer and then resumes an attempt is told that it was never seen; it
    would say "not run" of a request that ran, or run a key again.
    """
    message = event.message
    age_ms = event.at_ms - active.offered_ms
    if not active.resumed or age_ms < state.options.not_run_ms:
        return message
    if message.ran is not errors.Ran.NOT_RUN:
        return message
    return dataclasses.replace(
        message, kind=errors.Kind.OUTCOME_UNKNOWN, ran=errors.Ran.UNKNOWN
    )


def resume_failed(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """The sidecar did not come back in time: what ran there is unknown."""
    lost = messages.Failed(
        active.attempt_id, errors.Kind.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN
    )
    return _attempt_lost(state, active, lost, at_ms)


def cancel(state: _state.State, active: _state.ActiveRequest) -> Effects:
    """Tell the sidecar that nobody waits for the attempt any more."""
    if not active.offered:
        return []
    message = messages.Cancel(active.attempt_id)
    return [effects.Send(active.endpoint, message)]


def finish(state: _state.State, active: _state.ActiveRequest) -> Effects:
    """Forget a request that has had its final answer."""
    _release(state, active)
    _adapters.leave(state, active)
    _quotas.finish(state, active)
    if state.requests.pop(active.request.request_id, None) is not None:
        _limits.release(state, active.request)
    return []


def succeeded(state: _state.State, active: _state.ActiveRequest) -> None:
    """The endpoint gave a whole answer."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is not None:
        _ejection.succeeded(endpoint)
    _quarantine.succeeded(state, active)
    _crashes.succeeded(state, active)


def give_up(
    state: _state.State,
    active: _state.ActiveRequest,
    kind: errors.Kind,
    ran: errors.Ran,
    retry_after_ms: int = 0,
) -> Effects:
    """Give the final answer: an error, or a stream that ends as broken."""
    request_id = active.request.request_id
    if active.may_have_run and ran is errors.Ran.NOT_RUN:
        ran = errors.Ran.UNKNOWN
    if active.phase is _state.Phase.RELAYING:
        answer = effects.BreakAnswer(request_id, active.attempt_id, kind, ran)
    else:
        answer = effects.AnswerError(request_id, kind, ran, retry_after_ms)
    _settlement.settle(state, active, ran)
    told = _decisions.given_up(state, active, kind, ran, retry_after_ms)
    return [*told, answer, *finish(state, active)]


def _offer(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> Effects:
    request = active.request
    endpoint = state.endpoints[name]
    _adapters.leave(state, active)
    _quotas.sent_on(state, active, at_ms)
    if active.attempts == 0:
        _budget.paid_in(state, active)
    active.attempts += 1
    active.attempt_id = f'{request.request_id}.{active.attempts}'
    active.offered_ms = at_ms
    active.resumed = False
    active.phase = _state.Phase.OFFERED
    active.endpoint = name
    active.incarnation = endpoint.incarnation
    active.tried.add(name)
    endpoint.placed.add(active.attempt_id)
    _rate_limits.spend(endpoint, at_ms)
    active.room_asked_ms = None
    _backlog.offered(endpoint, active)
    state.attempts[active.attempt_id] = request.request_id
    _adapters.use_began(state, active)
    active.isolated = _quarantine.must_isolate(state, active, at_ms)
    offer = messages.Offer(
        attempt_id=active.attempt_id,
        request_id=request.request_id,
        caller=request.caller,
        service=endpoint.instance.service,
        adapter=_adapters.version_at(state, active, name, at_ms),
        idempotent=request.idempotent,
        priority=request.priority,
        remaining_ms=active.deadline_ms - at_ms,
        fingerprint=request.fingerprint,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        revision=state.follower.current.revision,
        isolate=active.isolated,
        host=request.host,
        another=_another_possible(state, active),
    )
    if not endpoint.instance.direct:
        return [effects.Send(name, offer)]
    return [
        _decisions.offered(state, active, offer, at_ms),
        effects.Send(name, offer),
    ]


def _another_possible(
    state: _state.State, active: _state.ActiveRequest
) -> bool:
    """Tell whether a run that fails now could be followed by another.

    Otherwise the endpoint's own answer goes to the caller, failure or not.
    """
    return (
        active.request.idempotent
        and active.runs + 1 < active.most_runs
        and active.attempts < state.options.attempts
        and _budget.level(state, active) >= 1
    )


def _current(
    state: _state.State, event: events.MessageReceived
) -> _state.ActiveRequest | None:
    """Return the request whose current attempt a message speaks of.

    Guards against the late word of an older attempt, or of a sidecar that
    the attempt was not offered to: it would show as another attempt's
    answer. Attempt ids are never used twice, so the id alone decides.
    """
    attempt_id = event.message.attempt_id
    active = state.request_of(attempt_id)
    if active is None or active.attempt_id != attempt_id:
        return None
    if active.endpoint != event.peer:
        return None
    return active


def _attempt_lost(
    state: _state.State,
    active: _state.ActiveRequest,
    lost: messages.Failed,
    at_ms: int,
) -> Effects:
    """Decide between another attempt and the final answer.

    No second attempt once the caller has part of an answer, and none for a
    non-idempotent request that may have run.
    """
    if lost.ran is errors.Ran.NOT_RUN:
        _quotas.not_run(active)
    else:
        active.may_have_run = True
        active.runs += 1
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is not None:
        _ejection.failed(state, endpoint, lost.kind, at_ms)
    if not _may_retry(state, active, lost):
        return give_up(state, active, lost.kind, lost.ran, lost.retry_after_ms)
    _release(state, active)
    active.phase = _state.Phase.WAITING
    active.last_refusal = lost
    factor = _pause_factor(lost)
    if lost.kind is errors.Kind.ENGINE_RESTARTED and factor:
        # It may be the only one that is left.
        active.tried.discard(active.endpoint)
    if not factor:
        return place(state, active, at_ms)
    pause_ms = factor * state.options.retry_pause_ms * (1 + active.seed)
    active.retry_at_ms = at_ms + int(pause_ms * active.attempts)
    return []


def _pause_factor(lost: messages.Failed) -> int:
    """Return how many pauses the next attempt waits for.

    An engine that restarted has not run what was meant for the one before;
    its sidecar has to read its status before it can take anything.
    """
    restarted = lost.kind is errors.Kind.ENGINE_RESTARTED
    if restarted and lost.ran is errors.Ran.NOT_RUN:
        return RESTARTED_PAUSES
    return int(lost.kind in PAUSED_KINDS)


def _may_retry(
    state: _state.State,
    active: _state.ActiveRequest,
    lost: messages.Failed,
) -> bool:
    if active.phase is _state.Phase.RELAYING:
        return False
    if active.may_have_run and not active.request.idempotent:
        return False
    if lost.kind in FINAL_KINDS:
        return False
    if active.attempts >= state.options.attempts:
        return False
    if active.runs >= active.most_runs:
        return False
    # An endpoint that leaves hands its work back: that is no overload, and
    # a planned stop must not fail a request for want of budget.
    if lost.kind is errors.Kind.LEAVING:
        return True
    # One that was lost with its endpoint may be tried again once: nobody
    # refused it, and a lost endpoint takes more than the budget's share of
    # what is in flight.
    free = state.options.lost_retry_free
    if free and lost.kind in LOST_KINDS and not active.lost_once:
        active.lost_once = True
        return True
    return _budget.take(state, active)


def _release(state: _state.State, active: _state.ActiveRequest) -> None:
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is not None:
        endpoint.placed.discard(active.attempt_id)
        _backlog.left(endpoint, active)
        _adapters.use_ended(state, active)
    state.attempts.pop(active.attempt_id, None)
    active.resume_by_ms = None
