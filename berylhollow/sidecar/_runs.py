"""Runs at the endpoint: starts them and handles their events."""

import dataclasses

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _isolation
from berylhollow.sidecar import _pauses
from berylhollow.sidecar import _state
from berylhollow.sidecar import _turns
from berylhollow.util import average

Effects = list[effects.Effect]
MIN_ERROR_STATUS = 400

REFUSAL_WAIT_MS = 500
"""How long a run without a response head is kept once its engine is gone.

The request may have reached the new engine, which refuses at once what was
sent to the previous one.
"""


def dispatch(state: _state.State, at_ms: int) -> Effects:
    """Start queued attempts while the endpoint has capacity."""
    done: Effects = []
    if not state.reachable or len(state.running) >= state.capacity:
        return done
    for attempt in _turns.fair_order(state):
        if len(state.running) >= state.capacity:
            break
        done += _start_run(state, attempt, at_ms)
        waits = attempt.phase is _state.AttemptPhase.QUEUED
        if waits and _isolation.should_hold_back_others(state, attempt, at_ms):
            break
    return done


def relay_head(state: _state.State, event: events.RunStarted) -> Effects:
    """Relay the head of an answer if it names the requested adapter.

    Guards against an engine whose slot was changed by someone else: the
    caller would get an answer of another adapter. The adapter that the
    endpoint reports is checked before any byte is relayed. Only an error
    response that names no adapter passes: it tells the caller what is wrong
    with its request, and no adapter produced it.
    """
    attempt = _running_attempt(state, event.attempt_id)
    if attempt is None:
        return []
    if not _has_expected_adapter(attempt, event):
        _distrust_slot(state, attempt)
        failure = messages.Failed(
            event.attempt_id, errors.Kind.WRONG_ADAPTER, errors.Ran.RAN
        )
        attempt.cancelled = True
        done = _end_attempt(state, attempt, failure, event.at_ms)
        return [*done, effects.CancelRun(event.attempt_id)]
    attempt.started = messages.Started(
        event.attempt_id,
        event.status,
        event.headers,
        event.adapter,
        attempt.stalled_ms,
    )
    return [effects.Send(attempt.peer, attempt.started)]


def _has_expected_adapter(
    attempt: _state.Attempt, event: events.RunStarted
) -> bool:
    expected = attempt.offer.adapter
    if expected is None or event.adapter == expected:
        return True
    return event.adapter is None and event.status >= MIN_ERROR_STATUS


def finish_run(state: _state.State, event: events.RunEnded) -> Effects:
    """End an attempt whose answer is complete."""
    attempt = _running_attempt(state, event.attempt_id)
    if attempt is None:
        return []
    _unpin(state, attempt, event.at_ms)
    _update_estimates(state, attempt, event.at_ms)
    outcome = messages.End(event.attempt_id, event.count)
    done = _end_attempt(state, attempt, outcome, event.at_ms)
    return done + dispatch(state, event.at_ms)


def fail_run(state: _state.State, event: events.RunFailed) -> Effects:
    """End a failed run; its slot stays pinned while it may still run."""
    attempt = _running_attempt(state, event.attempt_id)
    if attempt is None:
        return []
    done: Effects = []
    if event.crashed and attempt.give_up_ms is None:
        done = _isolation.report_crash(state, event.at_ms)
    outcome = messages.Failed(event.attempt_id, event.kind, event.ran)
    done += _end_attempt(state, attempt, outcome, event.at_ms)
    if event.ran is errors.Ran.NOT_RUN or state.options.plain:
        if event.kind is errors.Kind.ENGINE_RESTARTED:
            # The restarted engine refuses every request that is sent before
            # its status has been read.
            state.last_status_read_ms = event.at_ms
            done.append(effects.ReadStatus())
        _unpin(state, attempt, event.at_ms)
        return done
    return [*done, effects.CancelRun(event.attempt_id)]


def finish_cancel(
    state: _state.State, event: events.CancelConfirmed
) -> Effects:
    """Unpin the slot of a cancelled attempt, which no longer runs."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return []
    _unpin(state, attempt, event.at_ms)
    done: Effects = []
    if attempt.phase is not _state.AttemptPhase.ENDED:
        outcome = messages.Failed(
            event.attempt_id, errors.Kind.CANCELLED, errors.Ran.UNKNOWN
        )
        done = _end_attempt(state, attempt, outcome, event.at_ms)
    return done + dispatch(state, event.at_ms)


def fail_unstarted(
    state: _state.State,
    attempt: _state.Attempt,
    kind: errors.Kind,
    at_ms: int,
    retry_after_ms: int = 0,
) -> Effects:
    """Fail an attempt that was never sent to the endpoint."""
    outcome = messages.Failed(
        attempt.offer.attempt_id, kind, errors.Ran.NOT_RUN, retry_after_ms
    )
    return _end_attempt(state, attempt, outcome, at_ms)


def fail_lost_runs(state: _state.State, at_ms: int) -> Effects:
    """Fail the runs of an engine that is gone.

    Runs without a response head wait for ``REFUSAL_WAIT_MS``: they may have
    been sent to the new engine, and its status can arrive before its refusal.
    """
    done = _isolation.report_crash(state, at_ms)
    for attempt_id in sorted(state.running):
        attempt = state.attempts[attempt_id]
        attempt.slot = None
        has_no_head = attempt.started is None and not state.options.plain
        if has_no_head and attempt.phase is _state.AttemptPhase.RUNNING:
            attempt.give_up_ms = at_ms + REFUSAL_WAIT_MS
        else:
            done += _end_lost_run(state, attempt, at_ms)
    return done


def tick(state: _state.State, at_ms: int) -> Effects:
    """Fail the runs that a lost engine has not answered in time."""
    done: Effects = []
    for attempt_id in sorted(state.running):
        attempt = state.attempts[attempt_id]
        if attempt.give_up_ms is not None and at_ms >= attempt.give_up_ms:
            done += _end_lost_run(state, attempt, at_ms)
    return done


def _end_lost_run(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> Effects:
    state.running.discard(attempt.offer.attempt_id)
    if attempt.phase is _state.AttemptPhase.ENDED:
        return []
    outcome = messages.Failed(
        attempt.offer.attempt_id,
        errors.Kind.ENGINE_RESTARTED,
        errors.Ran.UNKNOWN,
    )
    return _end_attempt(state, attempt, outcome, at_ms)


def _start_run(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> Effects:
    """Pin the slot of an attempt's adapter and start the run.

    The pin keeps an adapter in use from being evicted: loads are ordered
    only into slots without pins, and a pin is released only after the last
    byte, a definite "not run" or a confirmed cancel.
    """
    kind = _configuration_error(state, attempt.offer)
    if kind is not None:
        return fail_unstarted(state, attempt, kind, at_ms)
    adapter = attempt.offer.adapter
    if not _isolation.may_begin(state, attempt):
        return []
    if adapter is not None:
        slot = state.ready_slot(adapter)
        if slot is None:
            return []
        slot.pins += 1
        slot.runs += 1
        slot.used_ms = at_ms
        attempt.slot = slot.number
    attempt.stalled_ms = _demands.load_stall_ms(state, attempt, at_ms)
    attempt.began_ms = at_ms
    attempt.crashes_known = _isolation.crashes_known(state, attempt.offer)
    _turns.charge_run(state, attempt)
    state.queue.remove(attempt.offer.attempt_id)
    attempt.phase = _state.AttemptPhase.RUNNING
    state.running.add(attempt.offer.attempt_id)
    return [
        effects.StartRun(
            attempt.offer.attempt_id,
            attempt.offer,
            state.epoch,
            attempt.peer,
        )
    ]


def _configuration_error(
    state: _state.State, offer: messages.Offer
) -> errors.Kind | None:
    """Return why a newer configuration than the offer's forbids the run."""
    view = state.follower.current
    if view is None or not 0 < offer.revision < view.revision:
        return None
    return view.request_error(offer.service, offer.adapter)


def _running_attempt(
    state: _state.State, attempt_id: str
) -> _state.Attempt | None:
    attempt = state.attempts.get(attempt_id)
    if attempt is None or attempt.phase is not _state.AttemptPhase.RUNNING:
        return None
    return attempt


def _end_attempt(
    state: _state.State,
    attempt: _state.Attempt,
    outcome: messages.End | messages.Failed,
    at_ms: int,
) -> Effects:
    attempt_id = attempt.offer.attempt_id
    if attempt.phase is _state.AttemptPhase.QUEUED:
        attempt.stalled_ms = _demands.load_stall_ms(state, attempt, at_ms)
    if attempt_id in state.queue:
        state.queue.remove(attempt_id)
    attempt.phase = _state.AttemptPhase.ENDED
    # Ended attempts are kept for a minute. The request is not needed for
    # that, and at 100 requests/s the bodies would fill the memory.
    attempt.offer = dataclasses.replace(attempt.offer, body=b'', headers=())
    attempt.outcome = outcome
    attempt.ended_ms = at_ms
    state.ended.append(attempt)
    return [effects.Send(attempt.peer, outcome)]


def _unpin(state: _state.State, attempt: _state.Attempt, at_ms: int) -> None:
    if attempt.offer.attempt_id in state.running:
        _isolation.record_isolated_end(state, attempt, at_ms)
    state.running.discard(attempt.offer.attempt_id)
    if attempt.slot is None:
        return
    slot = state.slots[attempt.slot]
    slot.pins -= 1
    slot.used_ms = at_ms
    attempt.slot = None


def _update_estimates(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> None:
    """Update the estimates of run time from a complete run."""
    if not _pauses.has_no_pause(state, attempt.began_ms, at_ms):
        return
    took_ms = at_ms - attempt.began_ms
    state.run_ms = average.update_average(state.run_ms, took_ms)
    tokens = max(1, attempt.offer.output_tokens)
    state.token_ms = average.update_average(state.token_ms, took_ms / tokens)


def _distrust_slot(state: _state.State, attempt: _state.Attempt) -> None:
    slot = state.slots[attempt.slot]
    slot.phase = _state.SlotPhase.UNCERTAIN
    slot.distrusted = True
