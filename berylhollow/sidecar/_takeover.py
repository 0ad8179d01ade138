"""Fencing numbers of load orders, and takeover from a predecessor.

A fencing number is the offset of this sidecar's takeover record on the log,
shifted, plus a count of its orders: each order has a higher number than all
orders of a predecessor and all earlier ones of its own.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.sidecar import _shutdown
from berylhollow.sidecar import _state

Effects = list[effects.Effect]
STREAM = 'takeovers'
ORDER_BITS = 20
# Reserved for orders of a predecessor that the engine has not received yet.
FALLBACK_GAP = 1 << 10


def start(state: _state.State, event: events.Started) -> Effects:
    """Append a takeover record, whose offset gives the fencing numbers.

    Guards against a predecessor that was only paused: when it resumes, its
    orders have lower numbers, and an engine that checks them refuses them.
    For an engine that does not, every sidecar of an endpoint binds the same
    fixed port, so no replacement starts beside a paused predecessor.
    """
    if state.options.plain:
        return []
    state.started_ms = event.at_ms
    return [_append_record(state, event.at_ms)]


def take_offset(
    state: _state.State, event: events.Appended | events.AppendFailed
) -> Effects:
    """Set the fencing base from the offset; ``tick`` retries a failure."""
    if event.stream != STREAM:
        return []
    if isinstance(event, events.Appended):
        base = (event.offset + 1) << ORDER_BITS
        state.fence = max(state.fence, base)
        state.has_log_fence = True
    return []


def tick(state: _state.State, at_ms: int) -> Effects:
    """Retry the takeover record until the log has stored it."""
    if state.options.plain or state.has_log_fence:
        return []
    if at_ms < state.next_takeover_append_ms:
        return []
    return [_append_record(state, at_ms)]


def status(state: _state.State, event: events.EngineStatus) -> Effects:
    """Check the engine's status for a newer sidecar and an idle engine."""
    idle = event.running == 0 and not any(
        slot.adapter is not None and not slot.ready for slot in event.slots
    )
    restarted = bool(state.epoch) and event.epoch != state.epoch
    if idle or restarted:
        state.engine_was_idle = True
    waited_ms = event.at_ms - state.started_ms
    overdue = waited_ms >= state.options.takeover_timeout_ms
    if overdue and not state.fence:
        state.fence = event.highest_fence + FALLBACK_GAP
    if event.highest_fence > state.fence and state.has_log_fence:
        return _step_down(state, event.at_ms)
    return []


def may_order(state: _state.State, at_ms: int) -> bool:
    """Tell whether load orders may be sent yet.

    The runs and loads that a dead predecessor left in the engine must end
    first: their pins are lost, so their adapters could be evicted in use.
    The wait is limited, in case the engine's status stays stale.
    """
    if state.superseded or not state.fence:
        return False
    waited_ms = at_ms - state.started_ms
    return state.engine_was_idle or waited_ms >= state.options.settle_ms


def next_fence(state: _state.State) -> int:
    """Return the fencing number of the next order."""
    state.fence += 1
    return state.fence


def _step_down(state: _state.State, at_ms: int) -> Effects:
    """Shut down: a newer sidecar has sent orders to this engine.

    As in a planned stop, runs are finished and the gateways are notified.
    """
    if state.superseded:
        return []
    state.superseded = True
    done: Effects = [effects.Log('another sidecar has taken over', (), True)]
    return done + _shutdown.start_draining(state, events.StopRequested(at_ms))


def _append_record(state: _state.State, at_ms: int) -> effects.Append:
    state.next_takeover_append_ms = at_ms + state.options.takeover_retry_ms
    data = f'{state.options.instance} {state.incarnation}'.encode()
    return effects.Append(STREAM, state.incarnation, data)
