"""Runs at the endpoint: begin them, follow them, end them."""

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
FIRST_ERROR_STATUS = 400

LAST_WORD_MS = 500
"""How long a run without a head is waited for when its engine is gone: a new
one refuses at once what was sent to the one before."""


def dispatch(state: _state.State, at_ms: int) -> Effects:
    """Give waiting attempts to the endpoint while there is room."""
    done: Effects = []
    if not state.reachable or len(state.running) >= state.capacity:
        return done
    for attempt in _turns.order(state):
        if len(state.running) >= state.capacity:
            break
        done += _begin(state, attempt, at_ms)
        waits = attempt.phase is _state.Phase.QUEUED
        if waits and _isolation.holds_back(state, attempt, at_ms):
            break
    return done


def started(state: _state.State, event: events.RunStarted) -> Effects:
    """Pass the head of an answer on, if it is of the adapter asked for.

    Guards against an engine whose slot was changed by somebody else: it
    would show as an answer of another adapter. The endpoint's own word for
    what it runs is compared before a byte is passed on. Only an error that
    names no adapter passes: it tells the caller what is wrong with its
    request, and no adapter has written it.
    """
    attempt = _running(state, event.attempt_id)
    if attempt is None:
        return []
    if not _is_as_asked(attempt, event):
        _distrust(state, attempt)
        wrong = messages.Failed(
            event.attempt_id, errors.Kind.WRONG_ADAPTER, errors.Ran.RAN
        )
        attempt.cancelled = True
        done = _tell(state, attempt, wrong, event.at_ms)
        return [*done, effects.CancelRun(event.attempt_id)]
    attempt.started = messages.Started(
        event.attempt_id,
        event.status,
        event.headers,
        event.adapter,
        attempt.stalled_ms,
    )
    return [effects.Send(attempt.peer, attempt.started)]


def _is_as_asked(attempt: _state.Attempt, event: events.RunStarted) -> bool:
    asked = attempt.offer.adapter
    if asked is None or event.adapter == asked:
        return True
    return event.adapter is None and event.status >= FIRST_ERROR_STATUS


def ended(state: _state.State, event: events.RunEnded) -> Effects:
    """The endpoint's answer is whole."""
    attempt = _running(state, event.attempt_id)
    if attempt is None:
        return []
    _unpin(state, attempt, event.at_ms)
    _learn(state, attempt, event.at_ms)
    outcome = messages.End(event.attempt_id, event.count)
    done = _tell(state, attempt, outcome, event.at_ms)
    return done + dispatch(state, event.at_ms)


def failed(state: _state.State, event: events.RunFailed) -> Effects:
    """A run broke off; what it used stays pinned while it may still run."""
    attempt = _running(state, event.attempt_id)
    if attempt is None:
        return []
    done: Effects = []
    if event.crashed and attempt.lost_ms is None:
        done = _isolation.crashed(state, event.at_ms)
    outcome = messages.Failed(event.attempt_id, event.kind, event.ran)
    done += _tell(state, attempt, outcome, event.at_ms)
    if event.ran is errors.Ran.NOT_RUN or state.options.plain:
        if event.kind is errors.Kind.ENGINE_RESTARTED:
            # Whatever comes before its status is read is refused as well.
            state.status_read_ms = event.at_ms
            done.append(effects.ReadStatus())
        _unpin(state, attempt, event.at_ms)
        return done
    return [*done, effects.CancelRun(event.attempt_id)]


def cancel_confirmed(
    state: _state.State, event: events.CancelConfirmed
) -> Effects:
    """The endpoint no longer runs a cancelled attempt: free its slot."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return []
    _unpin(state, attempt, event.at_ms)
    done: Effects = []
    if attempt.phase is not _state.Phase.ENDED:
        outcome = messages.Failed(
            event.attempt_id, errors.Kind.CANCELLED, errors.Ran.UNKNOWN
        )
        done = _tell(state, attempt, outcome, event.at_ms)
    return done + dispatch(state, event.at_ms)


def end_unrun(
    state: _state.State,
    attempt: _state.Attempt,
    kind: errors.Kind,
    at_ms: int,
    retry_after_ms: int = 0,
) -> Effects:
    """End an attempt that was never given to the endpoint."""
    outcome = messages.Failed(
        attempt.offer.attempt_id, kind, errors.Ran.NOT_RUN, retry_after_ms
    )
    return _tell(state, attempt, outcome, at_ms)


def all_lost(state: _state.State, at_ms: int) -> Effects:
    """End the runs of an engine that is gone.

    One without a head may have been sent to the new engine, which refuses
    it; the status overtakes that refusal.
    """
    done = _isolation.crashed(state, at_ms)
    for attempt_id in sorted(state.running):
        attempt = state.attempts[attempt_id]
        attempt.slot = None
        unheard = attempt.started is None and not state.options.plain
        if unheard and attempt.phase is _state.Phase.RUNNING:
            attempt.lost_ms = at_ms + LAST_WORD_MS
        else:
            done += _lost(state, attempt, at_ms)
    return done


def tick(state: _state.State, at_ms: int) -> Effects:
    """Give up what an engine that is gone has not answered."""
    done: Effects = []
    for attempt_id in sorted(state.running):
        attempt = state.attempts[attempt_id]
        if attempt.lost_ms is not None and at_ms >= attempt.lost_ms:
            done += _lost(state, attempt, at_ms)
    return done


def _lost(state: _state.State, attempt: _state.Attempt, at_ms: int) -> Effects:
    state.running.discard(attempt.offer.attempt_id)
    if attempt.phase is _state.Phase.ENDED:
        return []
    outcome = messages.Failed(
        attempt.offer.attempt_id,
        errors.Kind.ENGINE_RESTARTED,
        errors.Ran.UNKNOWN,
    )
    return _tell(state, attempt, outcome, at_ms)


def _begin(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> Effects:
    """Pin the slot that an attempt needs and start it there.

    The pin is the guard against evicting an adapter in use: loads are
    ordered only into slots without pins, and a pin is given back only after
    the last byte, a true "not run" or a confirmed cancel.
    """
    adapter = attempt.offer.adapter
    if not _isolation.may_begin(state, attempt):
        return []
    if adapter is not None:
        slot = state.slot_with(adapter)
        if slot is None:
            return []
        slot.pins += 1
        slot.runs += 1
        slot.used_ms = at_ms
        attempt.slot = slot.number
    attempt.stalled_ms = _demands.stalled_ms(state, attempt, at_ms)
    attempt.began_ms = at_ms
    _turns.begun(state, attempt)
    state.queue.remove(attempt.offer.attempt_id)
    attempt.phase = _state.Phase.RUNNING
    state.running.add(attempt.offer.attempt_id)
    return [
        effects.StartRun(
            attempt.offer.attempt_id,
            attempt.offer,
            state.epoch,
            attempt.peer,
        )
    ]


def _running(state: _state.State, attempt_id: str) -> _state.Attempt | None:
    attempt = state.attempts.get(attempt_id)
    if attempt is None or attempt.phase is not _state.Phase.RUNNING:
        return None
    return attempt


def _tell(
    state: _state.State,
    attempt: _state.Attempt,
    outcome: messages.End | messages.Failed,
    at_ms: int,
) -> Effects:
    attempt_id = attempt.offer.attempt_id
    if attempt.phase is _state.Phase.QUEUED:
        attempt.stalled_ms = _demands.stalled_ms(state, attempt, at_ms)
    if attempt_id in state.queue:
        state.queue.remove(attempt_id)
    attempt.phase = _state.Phase.ENDED
    # The attempt is remembered for a minute; its request is not needed for
    # that, and at a hundred requests a second it would fill the memory.
    attempt.offer = dataclasses.replace(attempt.offer, body=b'', headers=())
    attempt.outcome = outcome
    attempt.ended_ms = at_ms
    state.ended.append(attempt)
    return [effects.Send(attempt.peer, outcome)]


def _unpin(state: _state.State, attempt: _state.Attempt, at_ms: int) -> None:
    if attempt.offer.attempt_id in state.running:
        _isolation.ended(state, attempt, at_ms)
    state.running.discard(attempt.offer.attempt_id)
    if attempt.slot is None:
        return
    slot = state.slots[attempt.slot]
    slot.pins -= 1
    slot.used_ms = at_ms
    attempt.slot = None


def _learn(state: _state.State, attempt: _state.Attempt, at_ms: int) -> None:
    """Take a whole run into the estimates of how long runs take."""
    if not _pauses.measures(state, attempt.began_ms, at_ms):
        return
    took_ms = at_ms - attempt.began_ms
    state.run_ms = average.smoothed(state.run_ms, took_ms)
    tokens = max(1, attempt.offer.output_tokens)
    state.token_ms = average.smoothed(state.token_ms, took_ms / tokens)


def _distrust(state: _state.State, attempt: _state.Attempt) -> None:
    slot = state.slots[attempt.slot]
    slot.phase = _state.SlotPhase.UNCERTAIN
    slot.distrusted = True
