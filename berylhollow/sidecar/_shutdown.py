"""Graceful shutdown of a sidecar, and with it of its endpoint's work."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.sidecar import _reports
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def requested(state: _state.State, event: events.StopRequested) -> Effects:
    """Take no new work, hand back what never began, finish the rest."""
    if state.stopping:
        return []
    state.stopping = True
    state.stop_by_ms = event.at_ms + state.options.stop_grace_ms
    state.farewell_by_ms = event.at_ms + state.options.farewell_ms
    state.farewells = set(state.links)
    done = _reports.tell_all(state, event.at_ms)
    for attempt_id in list(state.queue):
        attempt = state.attempts[attempt_id]
        done += _runs.end_unrun(
            state, attempt, errors.Kind.LEAVING, event.at_ms
        )
    return done + tick(state, event.at_ms)


def link_opened(state: _state.State, event: events.LinkOpened) -> None:
    """Wait for a gateway too that finds us while we leave."""
    knows = event.incarnation in state.farewells_had
    if state.stopping and not knows:
        state.farewells.add(event.peer)


def link_closed(state: _state.State, event: events.LinkClosed) -> None:
    """A gateway knows that we leave; it may look whether we are gone."""
    state.farewells.discard(event.peer)
    if state.stopping and event.peer in state.links:
        state.farewells_had.add(state.links[event.peer])


def tick(state: _state.State, at_ms: int) -> Effects:
    """Exit once nothing runs, or the grace period is over.

    And once each gateway has closed its link, which it does when it knows
    that we leave and nothing of it is left here. Guards against an offer
    that is still under way when we exit: its gateway could never tell
    whether it ran, and a key would be lost to a planned stop.
    """
    if not state.stopping or state.exited:
        return []
    if state.running and at_ms < state.stop_by_ms:
        return []
    if state.farewells and at_ms < state.farewell_by_ms:
        return []
    state.exited = True
    return [effects.Exit(1 if state.running else 0)]
