"""Life cycle of attempts: offer, answer, failure, retry and final error.

An attempt is offered once, to one endpoint. After its link has broken, the
gateway asks the sidecar to resume the attempt and never offers it again,
since the first offer may have arrived.
"""

import dataclasses

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _adapters
from berylhollow.gateway import _admissions
from berylhollow.gateway import _backlog
from berylhollow.gateway import _budget
from berylhollow.gateway import _crashes
from berylhollow.gateway import _decisions
from berylhollow.gateway import _ejection
from berylhollow.gateway import _limits
from berylhollow.gateway import _origins
from berylhollow.gateway import _pauses
from berylhollow.gateway import _probes
from berylhollow.gateway import _prompt_parts
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _quotas
from berylhollow.gateway import _rate_limits
from berylhollow.gateway import _refusal
from berylhollow.gateway import _resumption
from berylhollow.gateway import _run_times
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow.gateway import _workspaces
from berylhollow import messages

Effects = list[effects.Effect]
# Not retried: every other endpoint would fail the request in the same way.
NON_RETRYABLE_KINDS = frozenset(
    {
        errors.Kind.CANCELLED,
        errors.Kind.CANNOT_BE_ON_TIME,
        errors.Kind.DEADLINE_EXCEEDED,
        errors.Kind.QUARANTINED,
        errors.Kind.UNKNOWN_ADAPTER,
        errors.Kind.UNKNOWN_VERSION,
    }
)
# The endpoint or its engine went down while it had the attempt.
ENDPOINT_LOST_KINDS = frozenset(
    {errors.Kind.ENGINE_RESTARTED, errors.Kind.OUTCOME_UNKNOWN}
)
# The endpoint accepts no more requests under this instance name, even if the
# instance list still has it.
ENDPOINT_GONE_KINDS = frozenset(
    {errors.Kind.ENDPOINT_REPLACED, errors.Kind.LEAVING}
)
# Retried after a back-off with jitter, since the endpoints are busy.
BACKOFF_KINDS = frozenset({errors.Kind.OVERLOADED})

RESTART_BACKOFF_FACTOR = 6
"""Back-off, in units of the retry pause, after a restarted engine has refused
an attempt. Its sidecar reads the engine's status twice a second, so it has
read the new status within two attempts."""


def place(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Offer a waiting request to an endpoint, or fail or postpone it.

    Checks the attempt limit, configuration, quarantine, workspace and quota
    first, and which software version may run it. A request without a suitable
    endpoint, or whose adapter is not loaded at the chosen one, may stay
    waiting and be placed again later.
    """
    if active.attempts >= state.options.attempts:
        return give_up(
            state, active, errors.Kind.OVERLOADED, errors.Ran.NOT_RUN
        )
    active.retry_at_ms = None
    leaving = _run_times.refusal_before_stop(state, active, at_ms)
    if leaving is not None:
        return _refuse(state, active, leaving)
    configuration = state.follower.current
    kind = configuration.request_error(active.service, active.request.adapter)
    if kind is not None:
        return give_up(state, active, kind, errors.Ran.NOT_RUN)
    refused_ms = _quarantine.refused_ms(state, active.keys, at_ms)
    if refused_ms:
        kind = errors.Kind.QUARANTINED
        request_id = active.request.request_id
        return [
            *_quarantine.refusal_logs(state, request_id, active.keys, at_ms),
            *give_up(state, active, kind, errors.Ran.NOT_RUN, refused_ms),
        ]
    refusal = _workspaces.refused(state, active, at_ms)
    if refusal is not None:
        return _refuse(state, active, refusal)
    wait_ms = _quotas.retry_wait_ms(state, active, at_ms)
    if wait_ms:
        kind = errors.Kind.QUOTA_EXCEEDED
        return give_up(state, active, kind, errors.Ran.NOT_RUN, wait_ms)
    resumption = _resumption.settle(state, active, at_ms)
    result = [*resumption.emitted]
    if resumption.refusal is not None:
        return result + _refuse(state, active, resumption.refusal)
    if not resumption.may_place:
        return result
    result += _rate_limits.request_loans(state, active, at_ms)
    _probes.limit_choice(state, active, at_ms)
    name = _admissions.choose_endpoint(state, active, at_ms)
    result += _admissions.end_elsewhere(state, active, name)
    if name is None and active.limited_to is None:
        return result + _handle_no_endpoint(state, active, at_ms)
    if name is not None and not _adapters.is_ready(state, active, name, at_ms):
        # A grant that is kept would hold back the endpoint's next prompts.
        result += _admissions.end(state, active)
        return result + _await_adapter(state, active, name, at_ms)
    if name is not None:
        if _admissions.refuses(active, name):
            return result + _refuse_admission(state, active)
        decision = _admissions.request(state, active, name, at_ms)
        result += decision.emitted
        if not decision.may_send:
            return result
    admission = _probes.admit(state, active, name, at_ms)
    result += admission.emitted
    if admission.admitted:
        return result + _offer(state, active, name, at_ms)
    _adapters.stop_waiting(state, active)
    result += _admissions.end_without_permit(state, active)
    if not admission.retry_after_ms:
        return result
    return result + give_up(
        state,
        active,
        errors.Kind.SUSPECT,
        errors.Ran.NOT_RUN,
        admission.retry_after_ms,
    )


def _refuse(
    state: _state.State,
    active: _state.ActiveRequest,
    refusal: _refusal.Refusal,
) -> Effects:
    """Fail a request that has not run."""
    ran, wait_ms = errors.Ran.NOT_RUN, refusal.retry_after_ms
    return give_up(state, active, refusal.kind, ran, wait_ms)


def _refuse_admission(
    state: _state.State, active: _state.ActiveRequest
) -> Effects:
    """Fail a request that no sidecar can admit before its deadline."""
    kind = errors.Kind.OVERLOADED
    retry_after_ms = _admissions.retry_after_ms(active)
    return give_up(state, active, kind, errors.Ran.NOT_RUN, retry_after_ms)


def _await_adapter(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> Effects:
    """Wait for the adapter to load, or fail after the longest wait."""
    if not _adapters.may_wait(state, active, at_ms):
        retry_after_ms = state.options.adapter_retry_ms
        kind = errors.Kind.LOAD_FAILED
        return give_up(state, active, kind, errors.Ran.NOT_RUN, retry_after_ms)
    return _adapters.wait_for_load(state, active, name, at_ms)


def _handle_no_endpoint(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Handle a request that no endpoint can take: postpone it or fail it.

    It fails with the last endpoint's refusal, if there was one. A gateway
    that has just started may not have opened its links yet, so it tries
    again. Otherwise requests would fail when all gateways are replaced at
    once and the balancer has no other gateway to send them to.
    """
    rate_limited = _rate_limits.endpoints_at_limit(state, active, at_ms)
    if rate_limited and not active.may_have_run:
        return _handle_rate_limits(state, active, rate_limited, at_ms)
    pause_ms = _pauses.retry_after_ms(state, active, at_ms)
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


def _handle_rate_limits(
    state: _state.State,
    active: _state.ActiveRequest,
    rate_limited: list[_state.Endpoint],
    at_ms: int,
) -> Effects:
    """Handle a request for which only rate-limited endpoints are left.

    It is refused at once with the time until the limit allows a request,
    unless a lender was asked for a loan and may answer in a moment.
    """
    if _rate_limits.may_await(active, rate_limited, at_ms):
        _adapters.stop_waiting(state, active)
        active.retry_at_ms = at_ms + state.options.retry_pause_ms
        return []
    return give_up(
        state,
        active,
        errors.Kind.OVERLOADED,
        errors.Ran.NOT_RUN,
        _rate_limits.wait_ms(rate_limited, active.seed, at_ms),
    )


def begin_answer(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Begin to relay the answer, which commits the request to this attempt."""
    message = event.message
    active = _current_request(state, event)
    if active is None or active.phase is not _state.Phase.OFFERED:
        return []
    if not _resumption.may_run_at(state, active, active.endpoint):
        return _end_other_version(state, active, event.at_ms)
    _backlog.record_answer_start(state, active, event.at_ms)
    active.phase = _state.Phase.RELAYING
    return [
        # Sidecars are told before the caller gets the first event.
        *_origins.answer_begins(state, active, message.status, event.at_ms),
        *_admissions.begin_answer(state, active, message.status),
        *_probes.endpoint_answered(state, active, event.at_ms),
        *_decisions.superseded_begin_logs(state, active, event.at_ms),
        effects.BeginAnswer(
            active.request.request_id,
            active.attempt_id,
            event.peer,
            message.status,
            message.headers,
            message.adapter,
            message.stalled_ms,
        ),
    ]


def first_event(state: _state.State, event: events.MessageReceived) -> Effects:
    """Tell the sidecar that the prompt of an admitted request was read."""
    active = _current_request(state, event)
    if active is None:
        return []
    return _admissions.end(state, active, begun=True)


def ended(state: _state.State, event: events.MessageReceived) -> Effects:
    """Complete the answer once the endpoint has sent all of it."""
    active = _current_request(state, event)
    if active is None or active.phase is not _state.Phase.RELAYING:
        return []
    active.has_ended = True
    return [
        *_admissions.end(state, active),
        effects.CompleteAnswer(
            active.request.request_id,
            active.attempt_id,
            event.message.count,
        ),
    ]


def failed(state: _state.State, event: events.MessageReceived) -> Effects:
    """Handle a failed attempt: retry the request or fail it."""
    active = _current_request(state, event)
    if active is None:
        return []
    message = _distrust_stale_not_run(state, active, event)
    result: Effects = []
    if message.kind in ENDPOINT_GONE_KINDS:
        state.endpoints[event.peer].leaving = True
    if message.kind is errors.Kind.ENDPOINT_REPLACED:
        result = _crashes.report_crash(state, event.peer, event.at_ms)
    if message.kind in _crashes.CUT_OFF_KINDS:
        _origins.note_cut_off(
            state, event.peer, active.offered_ms, event.at_ms
        )
    result += _crashes.record_cut_off(state, active, message, event.at_ms)
    if message.ran is not errors.Ran.NOT_RUN:
        result += _probes.release(state, active)
    return result + _handle_failure(state, active, message, event.at_ms)


def _distrust_stale_not_run(
    state: _state.State,
    active: _state.ActiveRequest,
    event: events.MessageReceived,
) -> messages.Failed:
    """Return the failure, with a "not run" that can't be trusted as unknown.

    A sidecar remembers ended attempts for a limited time. If a gateway was
    paused for longer and then resumes an attempt, the sidecar reports it as
    never seen. Taken as "not run", this would mislead the caller about a
    request that ran, or run a request with an idempotency key twice.
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
    """Fail an attempt that could not be resumed; its outcome is unknown."""
    return _handle_failure(state, active, _outcome_unknown(active), at_ms)


def end_superseded(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """End an attempt that might begin on a version that is too old.

    It may have begun a moment ago, so it is only repeated if it may run more
    than once.
    """
    log = _decisions.superseded_end_log(state, active, at_ms)
    return _end_attempt(state, active, log, _outcome_unknown(active), at_ms)


def _end_other_version(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """End an attempt whose endpoint may have another software version now.

    The request runs there already, but its caller has got nothing of it.
    """
    log = _decisions.other_version_log(state, active)
    failure = messages.Failed(
        active.attempt_id,
        errors.Kind.SOFTWARE_VERSION_GONE,
        errors.Ran.UNKNOWN,
    )
    return _end_attempt(state, active, log, failure, at_ms)


def _end_attempt(
    state: _state.State,
    active: _state.ActiveRequest,
    log: effects.Log,
    failure: messages.Failed,
    at_ms: int,
) -> Effects:
    """Cancel an attempt and handle it as failed."""
    cancelled = cancel(state, active)
    handled = _handle_failure(state, active, failure, at_ms)
    return [log, *cancelled, *handled]


def _outcome_unknown(active: _state.ActiveRequest) -> messages.Failed:
    return messages.Failed(
        active.attempt_id, errors.Kind.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN
    )


def cancel(state: _state.State, active: _state.ActiveRequest) -> Effects:
    """Cancel the current attempt, since nobody waits for its answer."""
    if not active.offered:
        return []
    message = messages.Cancel(active.attempt_id)
    return [effects.Send(active.endpoint, message)]


def finish(state: _state.State, active: _state.ActiveRequest) -> Effects:
    """Release everything held for a request that has its final answer."""
    # First, as the tokens counted last are those where it waits.
    _adapters.stop_waiting(state, active)
    result = _release_endpoint(state, active)
    _quotas.finish(state, active)
    if state.requests.pop(active.request.request_id, None) is not None:
        _limits.release(state, active.request)
    return result + _probes.release(state, active)


def record_success(
    state: _state.State, active: _state.ActiveRequest
) -> Effects:
    """Record that the endpoint gave a complete answer."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is not None:
        _ejection.record_success(endpoint)
    _prompt_parts.ended_well(state, active)
    return _quarantine.succeeded(state, active)


def give_up(
    state: _state.State,
    active: _state.ActiveRequest,
    kind: errors.Kind,
    ran: errors.Ran,
    retry_after_ms: int = 0,
) -> Effects:
    """Fail a request: send an error, or break off an answer that has begun."""
    request_id = active.request.request_id
    if active.may_have_run and ran is errors.Ran.NOT_RUN:
        ran = errors.Ran.UNKNOWN
    if active.phase is _state.Phase.RELAYING:
        answer = effects.BreakAnswer(request_id, active.attempt_id, kind, ran)
    else:
        answer = effects.AnswerError(request_id, kind, ran, retry_after_ms)
    _settlement.settle(state, active, ran)
    result = _decisions.give_up_logs(state, active, kind, ran, retry_after_ms)
    return [*result, answer, *finish(state, active)]


def _offer(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> Effects:
    """Send a new attempt of the request to the endpoint."""
    request = active.request
    endpoint = state.endpoints[name]
    adapter = _adapters.runnable_version(state, active, name, at_ms)
    _adapters.stop_waiting(state, active)
    _quotas.charge_run(state, active, at_ms)
    if active.attempts == 0:
        _budget.deposit(state, active)
    active.attempts += 1
    active.attempt_id = f'{request.request_id}.{active.attempts}'
    active.offered_ms = at_ms
    active.resumed = False
    active.phase = _state.Phase.OFFERED
    active.endpoint = name
    active.incarnation = endpoint.incarnation
    active.tried_endpoints.add(name)
    endpoint.attempts_in_flight.add(active.attempt_id)
    _rate_limits.spend(endpoint, at_ms)
    active.room_asked_ms = None
    _backlog.add_attempt(endpoint, active)
    state.attempts[active.attempt_id] = request.request_id
    _adapters.note_attempt_placed(state, active)
    active.offered_adapter = adapter
    active.is_overdue_reported = False
    active.isolated = _quarantine.must_isolate(state, active, at_ms)
    active.crashes_known = state.suspects.crashes(request.fingerprint)
    active.ends_known = _probes.known_ends(state, request.fingerprint, at_ms)
    active.part_crashes_known = _prompt_parts.crashes_known(state, active)
    offer = messages.Offer(
        attempt_id=active.attempt_id,
        request_id=request.request_id,
        caller=request.caller,
        service=endpoint.instance.service,
        adapter=adapter,
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
        another=_can_retry_after_run(state, active),
        crashes_known=active.crashes_known,
        is_probe=active.is_probe,
        software_version=active.software_version,
    )
    if not endpoint.instance.direct:
        return [effects.Send(name, offer)]
    return [
        _decisions.offer_log(state, active, offer, at_ms),
        effects.Send(name, offer),
    ]


def _can_retry_after_run(
    state: _state.State, active: _state.ActiveRequest
) -> bool:
    """Tell whether the request could be retried if this run fails.

    Otherwise the endpoint's own answer is relayed, even if it is an error.
    """
    return (
        active.request.idempotent
        and active.runs + 1 < active.most_runs
        and active.attempts < state.options.attempts
        and _budget.retries_left(state, active) >= 1
    )


def _current_request(
    state: _state.State, event: events.MessageReceived
) -> _state.ActiveRequest | None:
    """Return the request whose current attempt a message is about, if any.

    Drops late messages about older attempts, and messages from a sidecar
    that the attempt was not offered to. They would be taken for the answer of
    another attempt. Attempt ids are never reused, so the id identifies it.
    """
    attempt_id = event.message.attempt_id
    active = state.request_of(attempt_id)
    if active is None or active.attempt_id != attempt_id:
        return None
    if active.endpoint != event.peer:
        return None
    return active


def _handle_failure(
    state: _state.State,
    active: _state.ActiveRequest,
    failure: messages.Failed,
    at_ms: int,
) -> Effects:
    """Retry a request whose attempt has failed, or fail the request.

    It is not retried once the caller has part of an answer, nor if it may
    have run and is not idempotent.
    """
    if failure.ran is errors.Ran.NOT_RUN:
        _quotas.not_run(active)
    else:
        active.may_have_run = True
        active.runs += 1
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is not None:
        _ejection.record_failure(state, endpoint, failure.kind, at_ms)
    if active.limited_to is not None and failure.ran is errors.Ran.NOT_RUN:
        kind, pause_ms = errors.Kind.SUSPECT, _probes.RETRY_MS
        return give_up(state, active, kind, failure.ran, pause_ms)
    if not _may_retry(state, active, failure):
        return give_up(
            state, active, failure.kind, failure.ran, failure.retry_after_ms
        )
    result = _release_endpoint(state, active)
    active.phase = _state.Phase.WAITING
    active.last_refusal = failure
    factor = _backoff_factor(failure)
    if failure.kind is errors.Kind.ENGINE_RESTARTED and factor:
        # Allow the same endpoint again, since it may be the only one left.
        active.tried_endpoints.discard(active.endpoint)
    if not factor:
        return result + place(state, active, at_ms)
    pause_ms = factor * state.options.retry_pause_ms * (1 + active.seed)
    active.retry_at_ms = at_ms + int(pause_ms * active.attempts)
    return result


def _backoff_factor(failure: messages.Failed) -> int:
    """Return the back-off before the next attempt, in retry pauses.

    A restarted engine refuses attempts that were meant for its predecessor,
    and accepts none until its sidecar has read its new status.
    """
    restarted = failure.kind is errors.Kind.ENGINE_RESTARTED
    if restarted and failure.ran is errors.Ran.NOT_RUN:
        return RESTART_BACKOFF_FACTOR
    return int(failure.kind in BACKOFF_KINDS)


def _may_retry(
    state: _state.State,
    active: _state.ActiveRequest,
    failure: messages.Failed,
) -> bool:
    if active.phase is _state.Phase.RELAYING:
        return False
    if active.may_have_run and not active.request.idempotent:
        return False
    if failure.kind in NON_RETRYABLE_KINDS:
        return False
    if active.attempts >= state.options.attempts:
        return False
    if active.runs >= active.most_runs:
        return False
    # A draining endpoint returns its work without being overloaded. A planned
    # stop must not fail a request because the retry budget is used up.
    if failure.kind is errors.Kind.LEAVING:
        return True
    # A request whose endpoint was lost may be retried once outside the budget.
    # No endpoint refused it, and a lost endpoint has more requests in flight
    # than the budget's share of retries.
    is_free = state.options.lost_retry_free
    if (
        is_free
        and failure.kind in ENDPOINT_LOST_KINDS
        and not active.used_free_retry
    ):
        active.used_free_retry = True
        return True
    return _budget.try_withdraw(state, active)


def _release_endpoint(
    state: _state.State, active: _state.ActiveRequest
) -> Effects:
    """Remove the request's attempt and admission from its endpoint."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is not None:
        endpoint.attempts_in_flight.discard(active.attempt_id)
        _backlog.remove_request(endpoint, active)
        _adapters.note_attempt_removed(state, active)
    state.attempts.pop(active.attempt_id, None)
    active.resume_by_ms = None
    return _admissions.end(state, active)
