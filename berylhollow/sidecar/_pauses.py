"""Detects pauses of this process, which would distort its measurements.

Guards against wrong estimates after a pause: a load or a run that was in
flight while this process stood still seems to have taken that long. An
endpoint that is healthy then refuses requests because they would end too
late, and as none is admitted, no new measurement corrects the estimate. Ticks
come every few hundredths of a second, so a gap between them is a pause.
"""

from berylhollow.sidecar import _state

MIN_PAUSE_MS = 500
"""A longer gap between two ticks counts as a pause."""


def record_tick(state: _state.State, at_ms: int) -> None:
    """Record the time of a tick, and of the end of a pause before it."""
    if _has_just_paused(state, at_ms):
        state.last_pause_end_ms = at_ms
    state.last_tick_ms = at_ms


def has_no_pause(state: _state.State, since_ms: int, at_ms: int) -> bool:
    """Return whether no pause fell between ``since_ms`` and now."""
    return since_ms >= state.last_pause_end_ms and not _has_just_paused(
        state, at_ms
    )


def _has_just_paused(state: _state.State, at_ms: int) -> bool:
    """Return whether this process has paused since the last tick."""
    last_ms = state.last_tick_ms
    return last_ms is not None and at_ms - last_ms > MIN_PAUSE_MS
