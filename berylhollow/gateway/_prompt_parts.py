"""Evidence that a part of a prompt crashes nothing.

A bad part crashes each endpoint that begins to write an answer on it, a moment
later. So a run that begins to write after a loss, and lives on, clears all of
its parts of what was known by then. Runs that share a suspect part go one at a
time; one that is lost is held against a single part.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _probes
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _state
from berylhollow import quarantine
from berylhollow.util import bounded

Effects = list[effects.Effect]

PROOF_MS = 500
"""How long a run lives on after it began to write to clear its parts."""

MAX_RUNS = 10_000


def crashes_known(
    state: _state.State, active: _state.ActiveRequest
) -> dict[str, int]:
    """Return the crashes known of each part that a run is a probe for.

    A part with a loss that is not settled has one at least.
    """
    return {
        key: max(1, state.suspects.crashes(key))
        for key in active.probe_for
        if quarantine.is_part(key)
    }


def began_to_write(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Note a run that begins to write on parts that were lost elsewhere."""
    active = state.request_of(event.message.attempt_id)
    if active is None or active.endpoint != event.peer:
        return []
    ended = {
        key: known
        for key in active.keys[1:]
        if (known := _probes.known_ends(state, key, event.at_ms))
    }
    if ended:
        state.part_runs[active.request.request_id] = _state.PartRun(
            active.attempt_id, active.endpoint, event.at_ms, ended
        )
        bounded.drop_oldest(state.part_runs, MAX_RUNS)
    return []


def ended_well(state: _state.State, active: _state.ActiveRequest) -> None:
    """Note the end of an answer; its endpoint may still end a moment later."""
    run = state.part_runs.get(active.request.request_id)
    if run is not None and run.attempt_id == active.attempt_id:
        run.is_over = True


def run_lost(state: _state.State, active: _state.ActiveRequest) -> None:
    """Forget a run that was cut off: it clears nothing."""
    state.part_runs.pop(active.request.request_id, None)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Clear the parts of runs that have lived on for long enough."""
    emitted: Effects = []
    for request_id, run in list(state.part_runs.items()):
        if at_ms < run.began_ms + PROOF_MS:
            continue
        del state.part_runs[request_id]
        if not _has_lived_on(state, request_id, run):
            continue
        for key, ended in run.ended.items():
            if set(ended) & set(_probes.known_ends(state, key, at_ms)):
                emitted += _quarantine.clear(
                    state, key, ended, run.endpoint, is_proof=True
                )
    return emitted


def _has_lived_on(
    state: _state.State, request_id: str, run: _state.PartRun
) -> bool:
    """Tell whether a run still writes, or its endpoint outlived it."""
    if run.is_over:
        is_listed = run.endpoint in state.endpoints
        last_ms = state.unsettled.last_lost_ms(run.endpoint)
        return is_listed and last_ms < run.began_ms
    active = state.requests.get(request_id)
    return active is not None and active.attempt_id == run.attempt_id
