"""Exceptions in the handling of one request, which fail that request alone.

The handling may have stopped halfway, and its effects are dropped. So the
request is removed, and what is counted over all requests is counted again.
"""

import collections
import collections.abc
import traceback

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _admissions
from berylhollow.gateway import _attempts
from berylhollow.gateway import _probes
from berylhollow.gateway import _quotas
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]
EventHandler = collections.abc.Callable[[_state.State, events.Event], Effects]
RequestHandler = collections.abc.Callable[
    [_state.State, _state.ActiveRequest, int], Effects
]

Attempt = tuple[str, str]
"""The endpoint and the id of an attempt there."""

Held = tuple[
    Attempt | None,
    _state.PromptAdmission | None,
    tuple[tuple[str, _state.Probe], ...],
]
"""The attempt, the admission and the permits of a request."""

ENDING_EVENTS = (events.CallerGone, events.AnswerRelayed)
"""Events after which no answer is awaited."""

REQUEST_EVENTS = (*ENDING_EVENTS, events.AnswerBroken)
"""Events that name their request by its id."""

ATTEMPT_MESSAGES = (
    messages.Started,
    messages.Data,
    messages.End,
    messages.Failed,
)


def handle_event(
    state: _state.State, event: events.Event, handle: EventHandler
) -> Effects:
    """Handle an event; if it is one of a request, fail only that request.

    An exception in the handling of any other event is raised.
    """
    request_id = _request_id(state, event)
    if request_id is None:
        return handle(state, event)
    before = state.requests.get(request_id)
    held = _held(state, before)
    try:
        return handle(state, event)
    except Exception:
        active = before or state.requests.get(request_id)
        ran = _ran_at(event, active)
        emitted = _records(request_id)
        if not isinstance(event, ENDING_EVENTS):
            emitted.append(_answer(request_id, active, ran))
        return emitted + _end(state, active, held, ran)


def handle_request(
    handle: RequestHandler,
    state: _state.State,
    active: _state.ActiveRequest,
    at_ms: int,
) -> Effects:
    """Handle one request of an event that concerns several."""
    held = _held(state, active)
    try:
        return handle(state, active, at_ms)
    except Exception:
        request_id = active.request.request_id
        ran = _ran(active)
        emitted = [*_records(request_id), _answer(request_id, active, ran)]
        return emitted + _end(state, active, held, ran)


def place(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Place one request of an event that concerns several."""
    return handle_request(_attempts.place, state, active, at_ms)


def recount(state: _state.State) -> None:
    """Count again what is counted over all requests in flight."""
    requests = state.requests.values()
    callers = collections.Counter(x.request.caller for x in requests)
    for name, caller in state.callers.items():
        caller.in_flight = callers[name]
    state.adapter_in_flight = dict(
        collections.Counter(x.request.adapter for x in requests)
    )
    state.attempts = {
        active.attempt_id: request_id
        for request_id, active in state.requests.items()
        if active.offered
    }
    for name, endpoint in state.endpoints.items():
        endpoint.attempts_in_flight.intersection_update(state.attempts)
        waiting = state.awaiting_adapter.get(name, {})
        for request_id in [x for x in waiting if x not in state.requests]:
            del waiting[request_id]
        endpoint.waiting_tokens = sum(
            state.requests[request_id].queued_tokens for request_id in waiting
        ) + sum(
            state.request_of(attempt_id).queued_tokens
            for attempt_id in endpoint.attempts_in_flight
        )


def _request_id(state: _state.State, event: events.Event) -> str | None:
    """Return the request that an event is about, None for any other event.

    The request may have ended: the id of an attempt without one is ''.
    """
    if isinstance(event, events.RequestArrived):
        return event.request.request_id
    if isinstance(event, REQUEST_EVENTS):
        return event.request_id
    if not isinstance(event, events.MessageReceived):
        return None
    if isinstance(event.message, ATTEMPT_MESSAGES):
        return state.attempts.get(event.message.attempt_id, '')
    return None


def _held(state: _state.State, active: _state.ActiveRequest | None) -> Held:
    """Return what a request holds before it is handled."""
    if active is None:
        return None, None, ()
    probes = _probes.held(state, active) if state.probes else ()
    return _attempt(active), active.admission, probes


def _attempt(active: _state.ActiveRequest) -> Attempt | None:
    if not active.offered:
        return None
    return active.endpoint, active.attempt_id


def _ran_at(
    event: events.Event, active: _state.ActiveRequest | None
) -> errors.Ran:
    if isinstance(event, events.RequestArrived):
        return errors.Ran.NOT_RUN
    if isinstance(event, events.AnswerRelayed):
        return errors.Ran.RAN
    return _ran(active)


def _ran(active: _state.ActiveRequest | None) -> errors.Ran:
    if active is None or active.attempts or active.may_have_run:
        return errors.Ran.UNKNOWN
    return errors.Ran.NOT_RUN


def _answer(
    request_id: str, active: _state.ActiveRequest | None, ran: errors.Ran
) -> effects.Effect:
    kind = errors.Kind.INTERNAL
    if active is not None and active.phase is _state.Phase.RELAYING:
        attempt_id = active.attempt_id
        return effects.BreakAnswer(request_id, attempt_id, kind, ran)
    return effects.AnswerError(request_id, kind, ran)


def _end(
    state: _state.State,
    active: _state.ActiveRequest | None,
    held: Held,
    ran: errors.Ran,
) -> Effects:
    """Remove a request and give back what it holds, or held, elsewhere."""
    if active is None:
        recount(state)
        return []
    request_id = active.request.request_id
    if request_id in state.requests:
        _settlement.settle(state, active, ran)
        _quotas.finish(state, active)
    state.part_runs.pop(request_id, None)
    state.requests.pop(request_id, None)
    attempt, admission, probes = held
    emitted: Effects = [
        effects.Send(endpoint, messages.Cancel(attempt_id))
        for endpoint, attempt_id in {attempt, _attempt(active)} - {None}
    ]
    emitted += _admissions.end(state, active)
    active.admission = admission
    emitted += _admissions.end(state, active)
    for key, probe in probes:
        state.probes.setdefault(key, probe)
    emitted += _probes.release(state, active)
    recount(state)
    return emitted


def _records(request_id: str) -> Effects:
    """Return the log line and the count of the current exception."""
    fields = (
        ('request_id', request_id),
        ('traceback', traceback.format_exc()),
    )
    return [
        effects.Log('exception in the handling of a request', fields),
        effects.Count('berylhollow.request_exceptions', 1),
    ]
