"""Handles a request from its arrival to its final answer."""

import dataclasses

from berylhollow import claims
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _adapters
from berylhollow.gateway import _admissions
from berylhollow.gateway import _attempts
from berylhollow.gateway import _budget
from berylhollow.gateway import _claims
from berylhollow.gateway import _containment
from berylhollow.gateway import _limits
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _quotas
from berylhollow.gateway import _resumption
from berylhollow.gateway import _run_times
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow.gateway import _superseded
from berylhollow.gateway import _workspaces
from berylhollow import messages
from berylhollow import quarantine

Effects = list[effects.Effect]


def arrived(state: _state.State, event: events.RequestArrived) -> Effects:
    """Check a request against configuration, quota and limits; place it."""
    request = event.request
    if state.stopping:
        return [refusal(request.request_id, errors.Kind.LEAVING)]
    terms = _resolve_terms(state, event)
    if isinstance(terms, errors.Kind):
        refused = _workspaces.unknown(state, terms, event.at_ms)
        return [
            refusal(request.request_id, refused.kind, refused.retry_after_ms)
        ]
    workspace = terms.workspace
    request = dataclasses.replace(
        request,
        caller=workspace.name if workspace else request.caller,
        adapter=terms.adapter,
        deadline_ms=terms.deadline_ms,
        priority=terms.priority,
        repeatable=terms.repeatable,
    )
    begun_ms = event.at_ms if event.begun_ms is None else event.begun_ms
    deadline_ms = begun_ms + request.deadline_ms
    if event.at_ms >= deadline_ms:
        return [refusal(request.request_id, errors.Kind.DEADLINE_EXCEEDED)]
    keys = quarantine.keys(request.fingerprint, request.shared_parts)
    refused_ms = _quarantine.refused_ms(state, keys, event.at_ms)
    if refused_ms:
        kind = errors.Kind.QUARANTINED
        return [
            *_quarantine.refusal_logs(
                state, request.request_id, keys, event.at_ms
            ),
            refusal(request.request_id, kind, refused_ms),
        ]
    tokens = request.head.tokens
    _quotas.record_demand(state, workspace, tokens, event.at_ms)
    wait_ms = _quotas.wait_ms(state, workspace, tokens, event.at_ms)
    if wait_ms:
        kind = errors.Kind.QUOTA_EXCEEDED
        return [refusal(request.request_id, kind, wait_ms)]
    limit = _limits.admit(state, request, event.at_ms)
    if limit is not None:
        return [refusal(request.request_id, limit.kind, limit.retry_after_ms)]
    active = _state.ActiveRequest(
        request=request,
        arrived_ms=event.at_ms,
        deadline_ms=deadline_ms,
        seed=event.seed,
        service=terms.service,
        most_runs=terms.most_runs or state.options.attempts,
        objective_ms=terms.objective_ms,
        workspace=workspace,
        key_revision=state.follower.current.revision,
        route_services=terms.services,
        route_timeout_ms=terms.timeout_ms,
    )
    _resumption.begin(active, terms.is_stream, terms.resumable, event.at_ms)
    _quotas.reserve(state, active, event.at_ms)
    state.requests[request.request_id] = active
    if request.adapter is not None:
        name = messages.AdapterVersion(request.adapter.adapter, '')
        state.demand.record_request(name, event.at_ms)
    if request.key is not None:
        return _claims.claim(state, active, event.at_ms)
    return _attempts.place(state, active, event.at_ms)


def head_refused(state: _state.State, event: events.HeadRefused) -> Effects:
    """Log a request that was refused by its head, and count its demand."""
    configuration = state.follower.current
    workspace = (
        None if configuration is None else configuration.workspace(event.head)
    )
    if isinstance(workspace, errors.Kind):
        workspace = None
    if event.kind is errors.Kind.QUOTA_EXCEEDED:
        _quotas.record_demand(state, workspace, event.head.tokens, event.at_ms)
    fields = (
        ('shown_id', event.shown_id),
        ('kind', event.kind.value),
        ('workspace', '' if workspace is None else workspace.name),
        ('tokens', event.head.tokens),
        ('retry_after_ms', event.retry_after_ms),
        ('keys_age_ms', state.follower.keys_age_ms(event.at_ms)),
        ('revision', configuration.revision if configuration else 0),
    )
    return [effects.Log('request refused', fields)]


def caller_gone(state: _state.State, event: events.CallerGone) -> Effects:
    """Cancel the request of a caller that has disconnected.

    A non-idempotent run continues: its caller will send the key again and
    can be told the outcome only if the run ends.
    """
    active = state.requests.get(event.request_id)
    if active is None:
        return []
    _run_times.record(state, active, event.at_ms)
    if active.request.key is not None:
        if active.offered:
            return []
        _settlement.settle(state, active, errors.Ran.NOT_RUN)
    return _attempts.cancel(state, active) + _attempts.finish(state, active)


def relayed(state: _state.State, event: events.AnswerRelayed) -> Effects:
    """Finish a request whose caller has the whole answer."""
    active = state.requests.get(event.request_id)
    if active is None:
        return []
    stored = None
    if event.body is not None:
        stored = claims.StoredAnswer(event.status, event.headers, event.body)
    _run_times.record(state, active, event.at_ms)
    _settlement.settle(state, active, errors.Ran.RAN, stored)
    _admissions.record_gap(state, active, event.longest_gap_ms)
    done = _attempts.record_success(state, active)
    return done + _attempts.finish(state, active)


def broken(state: _state.State, event: events.AnswerBroken) -> Effects:
    """Give up an answer with missing frames that will never arrive."""
    active = state.requests.get(event.request_id)
    if active is None or active.attempt_id != event.attempt_id:
        return []
    return _attempts.give_up(
        state, active, errors.Kind.STREAM_BROKEN, errors.Ran.UNKNOWN
    )


def tick(state: _state.State, at_ms: int) -> Effects:
    """End requests past their deadline, place those due for a retry."""
    emitted: Effects = []
    if _limits.remove_idle_callers(state, at_ms):
        _budget.remove_unknown_callers(state)
    for active in list(state.requests.values()):
        emitted += _containment.handle_request(_tick, state, active, at_ms)
    return emitted


def _tick(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    if at_ms >= active.deadline_ms:
        _run_times.record(state, active, at_ms)
        return _expire(state, active)
    if active.resume_by_ms is not None and at_ms >= active.resume_by_ms:
        return _attempts.resume_failed(state, active, at_ms)
    if active.retry_at_ms is not None and at_ms >= active.retry_at_ms:
        return _attempts.place(state, active, at_ms)
    if _superseded.must_end(state, active, at_ms):
        return _attempts.end_superseded(state, active, at_ms)
    if _superseded.is_overdue(state, active, at_ms):
        _adapters.report_overdue(state, active)
    return []


def refusal(
    request_id: str, kind: errors.Kind, retry_after_ms: int = 0
) -> effects.AnswerError:
    """Return the error answer of a request that never had an attempt."""
    return effects.AnswerError(
        request_id, kind, errors.Ran.NOT_RUN, retry_after_ms
    )


def _resolve_terms(
    state: _state.State, event: events.RequestArrived
) -> following.Terms | errors.Kind:
    configuration = state.follower.current
    if configuration is None:
        return errors.Kind.CONFIGURATION_UNAVAILABLE
    return configuration.resolve(event.request, event.seed)


def _expire(state: _state.State, active: _state.ActiveRequest) -> Effects:
    """Give the final answer of a request past its deadline.

    Only a request that never had an attempt is known not to have run.
    """
    ran = errors.Ran.UNKNOWN
    if not active.offered and not active.may_have_run:
        ran = errors.Ran.NOT_RUN
    emitted = _attempts.cancel(state, active)
    kind = errors.Kind.DEADLINE_EXCEEDED
    return emitted + _attempts.give_up(state, active, kind, ran)
