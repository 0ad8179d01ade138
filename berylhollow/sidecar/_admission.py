"""Admission of offered attempts, and their cancel, resume and expiry."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _isolation
from berylhollow.sidecar import _loads
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _shedding
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def admit(state: _state.State, event: events.MessageReceived) -> Effects:
    """Queue an offered attempt or refuse it; a refused one has not run.

    Guards against a duplicate offer after a link broke and was reopened,
    which would run the request twice. The attempt id is kept from the first
    offer, or from a resume that arrived before it.
    """
    offer = event.message
    if offer.attempt_id in state.attempts:
        return [effects.Count('berylhollow.sidecar.offers.doubled')]
    attempt = _state.Attempt(
        offer=offer,
        peer=event.peer,
        arrived_ms=event.at_ms,
        deadline_ms=event.at_ms + offer.remaining_ms,
        isolate=_isolation.should_isolate(state, offer, event.at_ms),
    )
    state.attempts[offer.attempt_id] = attempt
    if offer.adapter is not None:
        state.adapter_policy.demand.record_request(offer.adapter, event.at_ms)
    kind = _refusal(state, offer, event.at_ms)
    if kind is not None:
        return _runs.fail_unstarted(state, attempt, kind, event.at_ms)
    state.queue.append(offer.attempt_id)
    done = _runs.dispatch(state, event.at_ms)
    done += _shedding.shed(state, event.at_ms)
    return done + _loads.order(state, event.at_ms)


def cancel(state: _state.State, event: events.MessageReceived) -> Effects:
    """Cancel an attempt whose gateway no longer waits for it."""
    attempt = state.attempts.get(event.message.attempt_id)
    if attempt is None or attempt.cancelled:
        return []
    attempt.cancelled = True
    if attempt.phase is _state.AttemptPhase.QUEUED:
        return _runs.fail_unstarted(
            state, attempt, errors.Kind.CANCELLED, event.at_ms
        )
    if attempt.phase is _state.AttemptPhase.RUNNING:
        return [effects.CancelRun(attempt.offer.attempt_id)]
    return [effects.ForgetRun(attempt.offer.attempt_id)]


def resume(state: _state.State, event: events.MessageReceived) -> Effects:
    """Resend the answer of an attempt from the frame the gateway needs next.

    An attempt that is unknown to this process did not run here. Its id is
    kept, so that an offer still in flight on the old link can't run after
    the gateway was told so.
    """
    message = event.message
    attempt = state.attempts.get(message.attempt_id)
    if attempt is None:
        return _deny_unknown_attempt(state, event)
    attempt.peer = event.peer
    attempt.unlinked_since_ms = None
    done: Effects = []
    if attempt.started is not None:
        done.append(effects.Send(event.peer, attempt.started))
        done.append(
            effects.ResendFrames(
                message.attempt_id, event.peer, message.next_sequence
            )
        )
    if attempt.outcome is not None:
        done.append(effects.Send(event.peer, attempt.outcome))
    return done


def tick(state: _state.State, at_ms: int) -> Effects:
    """Fail queued attempts past their deadline, drop old ended ones."""
    done: Effects = []
    for attempt_id in list(state.queue):
        attempt = state.attempts[attempt_id]
        if at_ms >= attempt.deadline_ms:
            done += _runs.fail_unstarted(
                state, attempt, errors.Kind.DEADLINE_EXCEEDED, at_ms
            )
    done += _shedding.shed(state, at_ms)
    return done + _forget_ended(state, at_ms)


def _refusal(
    state: _state.State, offer: messages.Offer, at_ms: int
) -> errors.Kind | None:
    if state.stopping or state.superseded:
        return errors.Kind.LEAVING
    if offer.remaining_ms <= 0:
        return errors.Kind.DEADLINE_EXCEEDED
    if state.suspects.quarantined_ms(offer.fingerprint, at_ms):
        return errors.Kind.QUARANTINED
    if not state.reachable:
        return errors.Kind.ENDPOINT_UNREACHABLE
    if len(state.queue) >= state.options.queue_limit:
        return errors.Kind.OVERLOADED
    if offer.service != state.options.service:
        return errors.Kind.UNKNOWN_SERVICE
    return None


def _deny_unknown_attempt(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    failed = messages.Failed(
        event.message.attempt_id,
        errors.Kind.ENDPOINT_UNREACHABLE,
        errors.Ran.NOT_RUN,
    )
    tombstone = _tombstone(event, failed)
    state.attempts[event.message.attempt_id] = tombstone
    state.ended.append(tombstone)
    return [effects.Send(event.peer, failed)]


def _tombstone(
    event: events.MessageReceived, failed: messages.Failed
) -> _state.Attempt:
    offer = messages.Offer(
        attempt_id=event.message.attempt_id,
        request_id='',
        caller='',
        service='',
        adapter=None,
        idempotent=False,
        priority=0,
        remaining_ms=0,
        fingerprint='',
        method='',
        path='',
        headers=(),
        body=b'',
    )
    return _state.Attempt(
        offer=offer,
        peer=event.peer,
        arrived_ms=event.at_ms,
        deadline_ms=event.at_ms,
        phase=_state.AttemptPhase.ENDED,
        outcome=failed,
        ended_ms=event.at_ms,
    )


def _forget_ended(state: _state.State, at_ms: int) -> Effects:
    """Drop attempts that ended long ago, oldest first.

    Stops at an ended attempt whose cancel is not confirmed: it still holds
    its pin, and its record is needed to release the pin.
    """
    oldest = at_ms - state.options.ended_retention_ms
    done: Effects = []
    while state.ended and state.ended[0].ended_ms < oldest:
        attempt_id = state.ended[0].offer.attempt_id
        if attempt_id in state.running:
            break
        state.ended.popleft()
        del state.attempts[attempt_id]
        done.append(effects.ForgetRun(attempt_id))
    return done
