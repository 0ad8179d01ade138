"""Chooses the next adapter to load and the slot to load it into."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import policy
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _orders
from berylhollow.sidecar import _pauses
from berylhollow.sidecar import _permits
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state
from berylhollow.sidecar import _takeover
from berylhollow.util import average

Effects = list[effects.Effect]
MAX_BACKOFF_DOUBLINGS = 5


def order(state: _state.State, at_ms: int) -> Effects:
    """Order the most valuable load for which a slot is available."""
    if state.options.plain or not _takeover.may_order(state, at_ms):
        return []
    if _is_load_in_flight(state, at_ms):
        return []
    plan = _plan_loads(state, at_ms)
    done = _refuse_late_attempts(state, plan, at_ms)
    for want, value in zip(plan.order, plan.values, strict=True):
        slot = _choose_slot(state, want.adapter, at_ms)
        if slot is None:
            continue
        if not _permits.may_load(state, at_ms):
            done += _permits.request_permit(state, want, value, at_ms)
        if _permits.may_load(state, at_ms):
            done.append(_order_load(state, slot, want.adapter, at_ms))
        return done
    return done + _permits.return_unused_permit(state, at_ms)


def use_grant(state: _state.State, event: events.MessageReceived) -> Effects:
    """Use a permit for the most valuable load now, or return it."""
    done = _permits.store_permit(state, event)
    return done + order(state, event.at_ms)


def finish_load(state: _state.State, event: events.LoadSucceeded) -> Effects:
    """Mark a slot as ready unless the engine has restarted since."""
    slot = state.slot_of_order(event.order_id)
    if slot is None or event.epoch != state.epoch:
        return []
    if slot.phase not in (
        _state.SlotPhase.LOADING,
        _state.SlotPhase.UNCERTAIN,
    ):
        return []
    slot.phase = _state.SlotPhase.READY
    _orders.mark_loaded(slot)
    slot.used_ms = event.at_ms
    slot.loaded_ms = event.at_ms
    took_ms = event.at_ms - slot.ordered_ms
    if _pauses.has_no_pause(state, slot.ordered_ms, event.at_ms):
        state.load_ms = average.update_average(state.load_ms, took_ms)
    slot.runs = 0
    state.backoffs.pop(slot.adapter, None)
    done = [_loaded_log(slot, event.at_ms)]
    done += _permits.end_load(state, True)
    done += _runs.dispatch(state, event.at_ms)
    return done + order(state, event.at_ms)


def fail_load(state: _state.State, event: events.LoadFailed) -> Effects:
    """Back off for the adapter whose load failed, and load others."""
    slot = state.slot_of_order(event.order_id)
    if slot is None or slot.phase is not _state.SlotPhase.LOADING:
        return []
    adapter = slot.adapter
    if event.certainty is events.Certainty.UNKNOWN:
        _orders.mark_uncertain(slot, event.at_ms)
    else:
        slot.phase = _state.SlotPhase.EMPTY
        slot.adapter = None
        _orders.mark_not_done(slot)
    if event.reason is events.LoadFailure.RATE:
        _permits.widen_interval(state, event.at_ms)
    else:
        _back_off(state, adapter, event.at_ms)
    done = [_load_failed_log(adapter, event)]
    done += _permits.end_load(state, False)
    return done + order(state, event.at_ms)


def _loaded_log(slot: _state.Slot, at_ms: int) -> effects.Log:
    fields = (
        ('adapter', slot.adapter.adapter),
        ('version', slot.adapter.version),
        ('slot', slot.number),
        ('duration_ms', at_ms - slot.ordered_ms),
    )
    return effects.Log('adapter loaded', fields)


def _load_failed_log(
    adapter: messages.AdapterVersion, event: events.LoadFailed
) -> effects.Log:
    fields = (
        ('adapter', adapter.adapter),
        ('version', adapter.version),
        ('reason', event.reason.value),
        ('certainty', event.certainty.value),
    )
    return effects.Log('load failed', fields, warning=True)


def _is_load_in_flight(state: _state.State, at_ms: int) -> bool:
    """Tell whether a load is in flight that does not seem to hang.

    Loading one adapter at a time gives each the weight store's full speed.
    Loads older than ``load_hang_threshold_ms`` don't count, or one that hangs
    would hold up all others until its timeout.
    """
    hang_cutoff_ms = at_ms - state.options.load_hang_threshold_ms
    return any(
        slot.phase is _state.SlotPhase.LOADING
        and slot.ordered_ms > hang_cutoff_ms
        for slot in state.slots
    )


def _plan_loads(state: _state.State, at_ms: int) -> policy.LoadPlan:
    """Return the policy's load plan for the adapters requests wait for."""
    wants = [
        want
        for want in _demands.awaited_adapters(state, at_ms)
        if _is_backoff_over(state, want.adapter, at_ms)
    ]
    if not wants:
        return policy.LoadPlan()
    interval_ms = _permits.interval_ms(state)
    weights = policy.service_weights(
        state.follower.current, state.options.service
    )
    return state.adapter_policy.load_order.plan(wants, interval_ms, weights)


def _refuse_late_attempts(
    state: _state.State, plan: policy.LoadPlan, at_ms: int
) -> Effects:
    """Refuse attempts that can't meet their deadline, with a retry delay."""
    if not plan.late_loads:
        return []
    waits_ms = {late.adapter: late.wait_ms for late in plan.late_loads}
    retry_ms = int((len(plan.order) + 1) * _permits.interval_ms(state))
    done: Effects = []
    for attempt in [state.attempts[name] for name in state.queue]:
        wait_ms = waits_ms.get(attempt.offer.adapter)
        if wait_ms is None:
            continue
        if _demands.slack_ms(state, attempt, at_ms) < wait_ms:
            kind = errors.Kind.CANNOT_BE_ON_TIME
            done += _runs.fail_unstarted(state, attempt, kind, at_ms, retry_ms)
    return done


def _is_backoff_over(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> bool:
    backoff = state.backoffs.get(adapter)
    return backoff is None or at_ms >= backoff.until_ms


def _choose_slot(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> _state.Slot | None:
    """Return the slot to load into: an empty one, else the least valuable.

    Only slots without pins are considered: an adapter in use is never
    evicted, whatever the policy says. A slot that may already hold the
    adapter comes first.
    """
    free = [
        slot
        for slot in _orders.candidate_slots(state, adapter)
        if _orders.may_load(state, slot, at_ms)
    ]
    return min(
        free,
        key=lambda slot: (
            adapter not in slot.may_hold,
            _demands.slot_value(state, slot, at_ms),
        ),
        default=None,
    )


def _order_load(
    state: _state.State,
    slot: _state.Slot,
    adapter: messages.AdapterVersion,
    at_ms: int,
) -> effects.LoadAdapter:
    _permits.use_permit(state, at_ms)
    slot.ordered_ms = at_ms
    state.order_count += 1
    slot.order_id = f'{state.incarnation}.{state.order_count}'
    slot.phase = _state.SlotPhase.LOADING
    slot.adapter = adapter
    slot.distrusted = False
    _orders.mark_ordered(slot, adapter)
    return effects.LoadAdapter(
        slot.order_id,
        slot.number,
        adapter,
        _takeover.next_fence(state),
        state.epoch,
        state.options.load_timeout_ms,
    )


def _back_off(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> None:
    backoff = state.backoffs.setdefault(adapter, _state.Backoff())
    doublings = min(backoff.failures, MAX_BACKOFF_DOUBLINGS)
    backoff.failures += 1
    backoff.until_ms = at_ms + state.options.load_backoff_ms * 2**doublings
    backoff.reason = errors.Kind.LOAD_FAILED
