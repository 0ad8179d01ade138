"""The fencing numbers of this sidecar's orders, and its predecessors.

A number is the offset of our takeover record on the log, shifted, plus a
count of orders: every order has a higher number than all of a predecessor's
and all of our own earlier ones.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.sidecar import _shutdown
from berylhollow.sidecar import _state

Effects = list[effects.Effect]
STREAM = 'takeovers'
ORDER_BITS = 20
# Left free for orders of a predecessor that the engine has not seen yet.
FALLBACK_GAP = 1 << 10


def begin(state: _state.State, event: events.Started) -> Effects:
    """Append a takeover record: its offset is our fencing number.

    Guards against a predecessor that was only paused: when it wakes up its
    orders carry lower numbers, which an engine that checks refuses. For an
    engine that does not, the fixed port that every sidecar of an endpoint
    binds keeps a replacement from starting beside a paused predecessor.
    """
    if state.options.plain:
        return []
    state.started_ms = event.at_ms
    return [_append(state, event.at_ms)]


def settled(
    state: _state.State, event: events.Appended | events.AppendFailed
) -> Effects:
    """Take the offset; a failed append is tried again at a later tick."""
    if event.stream != STREAM:
        return []
    if isinstance(event, events.Appended):
        base = (event.offset + 1) << ORDER_BITS
        state.fence = max(state.fence, base)
        state.fence_settled = True
    return []


def tick(state: _state.State, at_ms: int) -> Effects:
    """Ask the log again while it has not given us a number."""
    if state.options.plain or state.fence_settled:
        return []
    if at_ms < state.takeover_retry_ms:
        return []
    return [_append(state, at_ms)]


def status(state: _state.State, event: events.EngineStatus) -> Effects:
    """Learn from the engine who ordered it, and whether it is at rest."""
    quiet = event.running == 0 and not any(
        slot.adapter is not None and not slot.ready for slot in event.slots
    )
    restarted = bool(state.epoch) and event.epoch != state.epoch
    if quiet or restarted:
        state.engine_at_rest = True
    waited_ms = event.at_ms - state.started_ms
    late = waited_ms >= state.options.takeover_wait_ms
    if late and not state.fence:
        state.fence = event.highest_fence + FALLBACK_GAP
    if event.highest_fence > state.fence and state.fence_settled:
        return _deposed(state, event.at_ms)
    return []


def may_order(state: _state.State, at_ms: int) -> bool:
    """Tell whether load orders may be given yet.

    Not before the runs and loads that a dead predecessor left in the engine
    are over, or their adapters could be evicted in use: the pins died with
    it. A report that stays stale must not block for ever.
    """
    if state.deposed or not state.fence:
        return False
    waited_ms = at_ms - state.started_ms
    return state.engine_at_rest or waited_ms >= state.options.settle_ms


def next_fence(state: _state.State) -> int:
    """Return the number of the next order."""
    state.fence += 1
    return state.fence


def _deposed(state: _state.State, at_ms: int) -> Effects:
    """Another sidecar ordered this engine after us: leave it alone.

    What runs is finished as in a planned stop; gateways are told.
    """
    if state.deposed:
        return []
    state.deposed = True
    done: Effects = [effects.Log('another sidecar has taken over', (), True)]
    return done + _shutdown.requested(state, events.StopRequested(at_ms))


def _append(state: _state.State, at_ms: int) -> effects.Append:
    state.takeover_retry_ms = at_ms + state.options.takeover_retry_ms
    data = f'{state.options.instance} {state.incarnation}'.encode()
    return effects.Append(STREAM, state.incarnation, data)
