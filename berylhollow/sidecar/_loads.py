"""Which adapter is loaded next, and into which slot."""

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
    """Order the load that is worth most, if a slot can be had for it."""
    if state.options.plain or not _takeover.may_order(state, at_ms):
        return []
    if _under_way(state, at_ms):
        return []
    plan = _plan(state, at_ms)
    done = _give_up(state, plan, at_ms)
    for want, value in zip(plan.order, plan.values, strict=True):
        slot = _victim(state, want.adapter, at_ms)
        if slot is None:
            continue
        if not _permits.may_load(state, at_ms):
            done += _permits.ask(state, want, value, at_ms)
        if _permits.may_load(state, at_ms):
            done.append(_load(state, slot, want.adapter, at_ms))
        return done
    return done + _permits.unneeded(state, at_ms)


def granted(state: _state.State, event: events.MessageReceived) -> Effects:
    """Use a permit for what is wanted most by now, or give it back."""
    done = _permits.granted(state, event)
    return done + order(state, event.at_ms)


def succeeded(state: _state.State, event: events.LoadSucceeded) -> Effects:
    """A slot is ready, if the engine is still the one that was ordered."""
    slot = state.slot_of_order(event.order_id)
    if slot is None or event.epoch != state.epoch:
        return []
    if slot.phase not in (
        _state.SlotPhase.LOADING,
        _state.SlotPhase.UNCERTAIN,
    ):
        return []
    slot.phase = _state.SlotPhase.READY
    _orders.loaded(slot)
    slot.used_ms = event.at_ms
    slot.loaded_ms = event.at_ms
    took_ms = event.at_ms - slot.ordered_ms
    if _pauses.measures(state, slot.ordered_ms, event.at_ms):
        state.load_ms = average.smoothed(state.load_ms, took_ms)
    slot.runs = 0
    state.backoffs.pop(slot.adapter, None)
    done = [_loaded(slot, event.at_ms)]
    done += _permits.ended(state, True)
    done += _runs.dispatch(state, event.at_ms)
    return done + order(state, event.at_ms)


def failed(state: _state.State, event: events.LoadFailed) -> Effects:
    """Let the adapter wait before the next try, the others go on."""
    slot = state.slot_of_order(event.order_id)
    if slot is None or slot.phase is not _state.SlotPhase.LOADING:
        return []
    adapter = slot.adapter
    if event.certainty is events.Certainty.UNKNOWN:
        _orders.uncertain(slot, event.at_ms)
    else:
        slot.phase = _state.SlotPhase.EMPTY
        slot.adapter = None
        _orders.not_done(slot)
    if event.reason is events.LoadFailure.RATE:
        _permits.refused_by_rate(state, event.at_ms)
    else:
        _back_off(state, adapter, event.at_ms)
    done = [_load_failed(adapter, event)]
    done += _permits.ended(state, False)
    return done + order(state, event.at_ms)


def _loaded(slot: _state.Slot, at_ms: int) -> effects.Log:
    fields = (
        ('adapter', slot.adapter.adapter),
        ('version', slot.adapter.version),
        ('slot', slot.number),
        ('duration_ms', at_ms - slot.ordered_ms),
    )
    return effects.Log('adapter loaded', fields)


def _load_failed(
    adapter: messages.AdapterVersion, event: events.LoadFailed
) -> effects.Log:
    fields = (
        ('adapter', adapter.adapter),
        ('version', adapter.version),
        ('reason', event.reason.value),
        ('certainty', event.certainty.value),
    )
    return effects.Log('load failed', fields, warning=True)


def _under_way(state: _state.State, at_ms: int) -> bool:
    """Tell whether a load is under way that does not seem to hang.

    One at a time keeps to the weight store's full speed. Guards against a
    load that hangs: all others would wait until its timeout.
    """
    newest_ms = at_ms - state.options.load_hang_ms
    return any(
        slot.phase is _state.SlotPhase.LOADING and slot.ordered_ms > newest_ms
        for slot in state.slots
    )


def _plan(state: _state.State, at_ms: int) -> policy.LoadPlan:
    """Return what the policy makes of the adapters that are waited for."""
    wants = [
        want
        for want in _demands.wants(state, at_ms)
        if _due(state, want.adapter, at_ms)
    ]
    if not wants:
        return policy.LoadPlan()
    interval_ms = _permits.interval_ms(state)
    weights = policy.weights_of(state.follower.current, state.options.service)
    return state.adapter_policy.load_order.plan(wants, interval_ms, weights)


def _give_up(
    state: _state.State, plan: policy.LoadPlan, at_ms: int
) -> Effects:
    """Refuse at once what can't be on time, and say when to come back."""
    if not plan.given_up:
        return []
    waits_ms = {late.adapter: late.wait_ms for late in plan.given_up}
    retry_ms = int((len(plan.order) + 1) * _permits.interval_ms(state))
    done: Effects = []
    for attempt in [state.attempts[name] for name in state.queue]:
        wait_ms = waits_ms.get(attempt.offer.adapter)
        if wait_ms is None:
            continue
        if _demands.slack_ms(state, attempt, at_ms) < wait_ms:
            kind = errors.Kind.CANNOT_BE_ON_TIME
            done += _runs.end_unrun(state, attempt, kind, at_ms, retry_ms)
    return done


def _due(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> bool:
    backoff = state.backoffs.get(adapter)
    return backoff is None or at_ms >= backoff.until_ms


def _victim(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> _state.Slot | None:
    """Return the slot to load into: an empty one, else the least valuable.

    Only a slot without pins: whatever the policy says, an adapter in use is
    never evicted. One that may hold the adapter already goes first.
    """
    free = [
        slot
        for slot in _orders.homes(state, adapter)
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


def _load(
    state: _state.State,
    slot: _state.Slot,
    adapter: messages.AdapterVersion,
    at_ms: int,
) -> effects.LoadAdapter:
    _permits.used(state, at_ms)
    slot.ordered_ms = at_ms
    state.orders += 1
    slot.order_id = f'{state.incarnation}.{state.orders}'
    slot.phase = _state.SlotPhase.LOADING
    slot.adapter = adapter
    slot.distrusted = False
    _orders.ordered(slot, adapter)
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
