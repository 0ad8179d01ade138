"""Pauses of our own process, which are no measure of anything else.

Guards against estimates that a pause spoils: a load or a run that was under
way while this process stood still seems to have taken that long. It shows
as requests that are refused for being too late on an endpoint that is well;
with none admitted, nothing corrects the estimate. Ticks come every few
hundredths of a second, so a gap between them is a pause.
"""

from berylhollow.sidecar import _state

PAUSE_MS = 500


def ticked(state: _state.State, at_ms: int) -> None:
    """Note a tick, and a pause before it."""
    if paused_before(state, at_ms):
        state.woke_ms = at_ms
    state.ticked_ms = at_ms


def measures(state: _state.State, since_ms: int, at_ms: int) -> bool:
    """Tell whether a span up to now holds no pause of ours."""
    return since_ms >= state.woke_ms and not paused_before(state, at_ms)


def paused_before(state: _state.State, at_ms: int) -> bool:
    """Tell whether this moment is the first after a pause."""
    last_ms = state.ticked_ms
    return last_ms is not None and at_ms - last_ms > PAUSE_MS
