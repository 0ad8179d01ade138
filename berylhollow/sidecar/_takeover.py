"""The fencing number of this sidecar, from the order of the log."""

from berylhollow import effects
from berylhollow import events
from berylhollow.sidecar import _state

Effects = list[effects.Effect]
STREAM = 'takeovers'


def begin(state: _state.State, event: events.Started) -> Effects:
    """Append a takeover record: its offset is our fencing number.

    Guards against a predecessor that was only paused: when it wakes up its
    orders carry a lower number, which an engine that checks refuses.
    """
    if state.options.plain:
        return []
    return [_append(state)]


def settled(
    state: _state.State, event: events.Appended | events.AppendFailed
) -> Effects:
    """Take the offset, or try again when the log did not answer."""
    if event.stream != STREAM:
        return []
    if isinstance(event, events.Appended):
        state.fence = max(state.fence, event.offset + 1)
        return []
    return [_append(state)]


def may_order(state: _state.State) -> bool:
    """Tell whether load orders may be given yet."""
    return state.fence > 0 or not state.options.checks_fencing


def _append(state: _state.State) -> effects.Append:
    data = f'{state.options.instance} {state.incarnation}'.encode()
    return effects.Append(STREAM, state.incarnation, data)
