"""Evidence that a part of a prompt crashes nothing.

A bad part crashes each endpoint that begins to write an answer on it, a moment
later. So a run that begins to write and lives on clears all of its parts of
the losses known by then, and of the first ones after that. Runs that share a
suspect part go one at a time; one that is lost is held against a single part.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _probes
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import quarantine
from berylhollow.util import bounded

Effects = list[effects.Effect]

PROOF_MS = 500
"""How long a run lives on after it began to write to clear its parts."""

PROOF_VALID_MS = 60_000
"""How long before a loss a run may have cleared its parts. Rare parts come
some ten seconds apart."""

MAX_EXCUSED = 2
"""How many losses one run clears its parts of beforehand. A part that begins
to crash endpoints becomes suspect with the next one."""

MAX_RUNS = 10_000
MAX_PROOFS = 10_000


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
    """Note a run that begins to write on shared parts."""
    active = state.request_of(event.message.attempt_id)
    if active is None or active.endpoint != event.peer:
        return []
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None or not endpoint.instance.direct:
        return []
    if active.keys[1:]:
        state.part_runs[active.request.request_id] = _state.PartRun(
            active.attempt_id, event.peer, event.at_ms, active.keys[1:]
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
        for key in run.parts:
            emitted += _note_proof(state, key, run.endpoint, at_ms)
    return emitted


def _note_proof(
    state: _state.State, key: str, endpoint: str, at_ms: int
) -> Effects:
    """Note a run that lived on; clear its part of the ends known by now."""
    state.part_proofs.pop(key, None)
    state.part_proofs[key] = _state.PartProof(endpoint, at_ms)
    bounded.drop_oldest(state.part_proofs, MAX_PROOFS)
    lost = (
        *state.suspects.ended(key),
        *state.unsettled.endpoints(key, at_ms),
    )
    return _clear(state, key, lost, endpoint, at_ms) if lost else []


def lost_elsewhere(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Note a run that another gateway lost, unless its part is sound."""
    lost: messages.RunLost = event.message
    emitted = _probes.lost_elsewhere(state, event)
    excused = excuse(state, lost.fingerprint, lost.endpoint, event.at_ms)
    return emitted + excused


def excuse(
    state: _state.State, key: str, endpoint: str, at_ms: int
) -> Effects:
    """Clear a part of a loss if a run before has shown it to be sound.

    All gateways hear of the loss, so that one run clears the part of the first
    endpoints that are lost after it and no more, at whatever gateways.
    """
    proof = state.part_proofs.get(key)
    if proof is None or at_ms >= proof.at_ms + PROOF_VALID_MS:
        return []
    together_ms = state.options.suspicion.together_ms
    if proof.losses == 0 or at_ms > proof.lost_ms + together_ms:
        proof.losses += 1
        proof.lost_ms = at_ms
    is_unsettled = endpoint in state.unsettled.endpoints(key, at_ms)
    if proof.losses > MAX_EXCUSED or not is_unsettled:
        return []
    fields = (
        ('key', key),
        ('endpoint', endpoint),
        ('proof_endpoint', proof.endpoint),
        ('proof_ms_ago', at_ms - proof.at_ms),
    )
    log = effects.Log('loss not held against a sound part', fields)
    return [log, *_clear(state, key, (endpoint,), proof.endpoint, at_ms)]


def _clear(
    state: _state.State,
    key: str,
    ended: tuple[str, ...],
    endpoint: str,
    at_ms: int,
) -> Effects:
    _quarantine.note_part_cleared(state, key, ended, at_ms)
    return _quarantine.clear(state, key, ended, endpoint, is_proof=True)


def _has_lived_on(
    state: _state.State, request_id: str, run: _state.PartRun
) -> bool:
    """Tell whether a run still writes, or its endpoint outlived it."""
    active = state.requests.get(request_id)
    is_current = active is not None and active.attempt_id == run.attempt_id
    if run.is_over or (is_current and active.has_ended):
        is_listed = run.endpoint in state.endpoints
        last_ms = state.unsettled.last_lost_ms(run.endpoint)
        return is_listed and last_ms < run.began_ms
    return is_current
