"""Quarantine of requests that crash endpoints.

Guards against one request that takes down every endpoint: it crashes one, and
a retry or its caller's resend carries it to the next. The symptom is engines
that restart one after the other. The sidecar that detects the crash tells all
its gateways before it reports the attempts as lost; a suspect request then
runs only in isolation, and one that crashes an endpoint there is refused.
"""

import collections.abc
import dataclasses

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.policy import rendezvous
from berylhollow import quarantine
from berylhollow.util import bounded

Effects = list[effects.Effect]

SEVERAL = 2

MAX_PARTS_CLEARED = 10_000


def refused_ms(state: _state.State, keys: tuple[str, ...], at_ms: int) -> int:
    """Return for how long a request is quarantined, 0 if it is not.

    A request is if one of its keys is.
    """
    return max(state.suspects.quarantined_ms(key, at_ms) for key in keys)


def refusal_logs(
    state: _state.State, request_id: str, keys: tuple[str, ...], at_ms: int
) -> Effects:
    """Return a log line for each key by which a request is refused."""
    emitted: Effects = []
    for key in keys:
        left_ms = state.suspects.quarantined_ms(key, at_ms)
        if left_ms:
            fields = (
                ('request_id', request_id),
                ('key', key),
                ('crashes', state.suspects.crashes(key)),
                ('left_ms', left_ms),
            )
            emitted.append(effects.Log('quarantined request refused', fields))
    return emitted


def must_isolate(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether a request may run only with no other beside it."""
    return state.suspects.is_suspect(active.request.fingerprint, at_ms)


def crashed(state: _state.State, event: events.MessageReceived) -> Effects:
    """Record a crash told by a sidecar or gateway; forward it to peers."""
    message: messages.Crashed = event.message
    crash = quarantine.Crash(
        message.crash_id, message.service, message.fingerprints, message.runs
    )
    if message.crash_id in state.recorded_crashes_ms:
        return []
    state.recorded_crashes_ms[message.crash_id] = event.at_ms
    emitted = _record_crash(state, crash, event.at_ms)
    forwarded = [
        effects.Send(peer, message)
        for peer in state.peer_links
        if peer != event.peer
    ]
    return emitted + forwarded


def seen(state: _state.State, crash: quarantine.Crash, at_ms: int) -> Effects:
    """Record a crash that this gateway detected itself."""
    state.recorded_crashes_ms[crash.crash_id] = at_ms
    return _record_crash(state, crash, at_ms, is_own=True)


def succeeded(state: _state.State, active: _state.ActiveRequest) -> Effects:
    """Clear a suspect request that succeeded where it proves something.

    A sidecar runs a suspect with no other beside it. At a direct endpoint
    nothing does, but many requests have the same fingerprint there, and each
    crash also interrupts innocent ones. Only what was known when the run began
    is cleared.
    """
    endpoint = state.endpoints.get(active.endpoint)
    is_direct = endpoint is not None and endpoint.instance.direct
    if not (active.isolated or is_direct):
        return []
    fingerprint = active.request.fingerprint
    ended = active.ends_known
    if not ended:
        return []
    return clear(
        state, fingerprint, ended, active.endpoint, is_proof=not is_direct
    )


def clear(
    state: _state.State,
    key: str,
    ended: tuple[str, ...],
    endpoint: str,
    is_proof: bool,
) -> Effects:
    """Clear a key of ends, as far as a run proves it; tell all gateways."""
    is_cleared = _disprove(state, key, ended, is_proof)
    message = messages.Cleared(key, ended)
    # One sidecar forwards it to all gateways that are linked to it, the one
    # that forwards losses, so that it can't overtake them. All forget the
    # crashes that they keep.
    linked = state.linked_sidecars
    forwards = rendezvous.highest(key, linked)
    peers = (*(x for x in linked if x == forwards), *state.peer_links)
    told: Effects = [effects.Send(peer, message) for peer in peers]
    if not is_cleared:
        return told
    forget = messages.ForgetCrashes(key, ended)
    return [
        _cleared_log(message, endpoint),
        *told,
        *(effects.Send(peer, forget) for peer in linked if peer != forwards),
    ]


def cleared(state: _state.State, event: events.MessageReceived) -> Effects:
    """Clear a suspect request that succeeded at another gateway."""
    message: messages.Cleared = event.message
    is_proof = event.peer in state.peer_links
    if quarantine.is_part(message.fingerprint):
        is_proof = True
        note_part_cleared(
            state, message.fingerprint, message.ended, event.at_ms
        )
    if not _disprove(state, message.fingerprint, message.ended, is_proof):
        return []
    forwarded = [
        effects.Send(peer, message)
        for peer in state.peer_links
        if peer != event.peer
    ]
    return [_cleared_log(message, event.peer), *forwarded]


def note_part_cleared(
    state: _state.State, key: str, ended: tuple[str, ...], at_ms: int
) -> None:
    """Note when a part was cleared of ends; losses told later are known."""
    for name in ended:
        state.parts_cleared_ms[key, name] = at_ms
    bounded.drop_oldest(state.parts_cleared_ms, MAX_PARTS_CLEARED)


def is_part_cleared(
    state: _state.State, key: str, endpoint: str, lost_ms: int
) -> bool:
    """Tell whether a part was cleared of an end that cut off a run."""
    cleared_ms = state.parts_cleared_ms.get((key, endpoint))
    if cleared_ms is None:
        return False
    return lost_ms <= cleared_ms + state.options.suspicion.together_ms


def _disprove(
    state: _state.State,
    fingerprint: str,
    ended: tuple[str, ...],
    is_proof: bool,
) -> bool:
    """Drop the crashes and losses of a request that ran well after them.

    A run with nothing beside it is a proof. Tells whether the request was
    suspect and is no longer.
    """
    has_run_well = _has_run_well(state, fingerprint, ended)
    if not (is_proof or has_run_well):
        return False
    state.unsettled.settle(fingerprint, *ended)
    for name in ended:
        endpoint = state.endpoints.get(name)
        run = endpoint.lost.get(fingerprint) if endpoint else None
        if run is not None and quarantine.is_part(fingerprint):
            # Its end must not be counted when the list shows it.
            del endpoint.lost[fingerprint]
        elif run is not None and run.is_probe:
            endpoint.lost[fingerprint] = dataclasses.replace(
                run, is_probe=False
            )
    return state.suspects.disprove(fingerprint, ended)


def _has_run_well(
    state: _state.State, fingerprint: str, ended: tuple[str, ...]
) -> bool:
    """Count a run that ended well; tell whether these are enough.

    One is, unless several endpoints ended with nothing else there. It may
    then be the run of another request that only looks the same.
    """
    successes = state.successes.pop(fingerprint, 0) + 1
    rules = state.options.suspicion
    if len(ended) < SEVERAL or successes >= rules.successes:
        return True
    alone = sum(
        not state.suspects.has_others(name, fingerprint)
        and not state.unsettled.has_others(name, (fingerprint,))
        for name in ended
    )
    if alone < SEVERAL:
        return True
    state.successes[fingerprint] = successes
    bounded.drop_oldest(state.successes, rules.limit)
    return False


def tick(state: _state.State, at_ms: int) -> Effects:
    """Remove old suspicions; read new quarantine records from the log."""
    if at_ms < state.quarantine_read_at_ms:
        return []
    state.quarantine_read_at_ms = at_ms + state.options.quarantine_poll_ms
    state.suspects.forget_expired(at_ms)
    state.unsettled.forget_expired(at_ms)
    oldest_ms = at_ms - state.options.suspicion.suspect_ms
    recent = {
        crash_id: seen_ms
        for crash_id, seen_ms in state.recorded_crashes_ms.items()
        if seen_ms >= oldest_ms
    }
    state.recorded_crashes_ms = recent
    return [effects.ReadLog(quarantine.STREAM, state.quarantine_offset)]


def log_read(state: _state.State, event: events.LogRead) -> Effects:
    """Apply the crash and lift records that were read from the log."""
    emitted: Effects = []
    newest_ms = max((entry.at_ms for entry in event.entries), default=0)
    for entry in event.entries:
        if entry.offset < state.quarantine_offset:
            continue
        state.quarantine_offset = entry.offset + 1
        written_ms = event.at_ms - (newest_ms - entry.at_ms)
        emitted += _apply_record(state, entry, event.at_ms, written_ms)
    state.quarantine_offset = max(state.quarantine_offset, event.first_offset)
    return emitted


def log_read_failed(
    state: _state.State, event: events.LogReadFailed
) -> Effects:
    """Continue at the oldest kept record if the next one was removed."""
    if event.first_offset is not None:
        state.quarantine_offset = event.first_offset
    return []


def _apply_record(
    state: _state.State,
    entry: messages.LogEntry,
    at_ms: int,
    written_ms: int,
) -> Effects:
    try:
        record = quarantine.decode(entry.data)
    except quarantine.RecordError:
        return [effects.Log('quarantine record not understood', (), True)]
    if isinstance(record, quarantine.Lift):
        state.suspects.clear(record.fingerprint)
        fields = (('fingerprint', record.fingerprint),)
        return [effects.Log('quarantine lifted', fields)]
    if record.crash_id in state.recorded_crashes_ms:
        return []
    state.recorded_crashes_ms[record.crash_id] = at_ms
    return _record_crash(state, record, at_ms, written_ms)


def _cleared_log(message: messages.Cleared, source: str) -> effects.Log:
    fields = (
        ('fingerprint', message.fingerprint),
        ('crashes', len(message.ended)),
        ('source', source),
    )
    return effects.Log('suspicion cleared', fields)


def _record_crash(
    state: _state.State,
    crash: quarantine.Crash,
    at_ms: int,
    reported_ms: int | None = None,
    is_own: bool = False,
) -> Effects:
    ended = quarantine.ended_epoch(crash.crash_id)
    made_ms = at_ms if reported_ms is None else reported_ms
    lost_ms = made_ms - max((run.lost_ms_ago for run in crash.runs), default=0)
    rules = state.options.suspicion
    within_ms = rules.together_ms + (0 if is_own else rules.report_delay_ms)
    if state.unsettled.has_others_at_end(
        ended, crash.fingerprints, lost_ms, within_ms
    ):
        # Another gateway reports them when it sees the end.
        state.suspects.note_end(ended, at_ms).had_others = True
    quarantined = state.suspects.count_crash(crash, at_ms, reported_ms, is_own)
    withdrawn = state.suspects.withdraw(crash, at_ms)
    for fingerprint in crash.fingerprints:
        state.unsettled.settle(fingerprint, ended)
    counted = _counted_logs(state, crash)
    return counted + changes_logged(state, crash, quarantined, withdrawn)


def _counted_logs(state: _state.State, crash: quarantine.Crash) -> Effects:
    """Return log lines about requests that several endpoints ended under.

    ``crashes`` is less than ``ended`` if endpoints were lost together.
    """
    emitted: Effects = []
    for fingerprint in crash.fingerprints:
        ended = state.suspects.ended(fingerprint)
        if len(ended) < SEVERAL:
            continue
        fields = (
            ('fingerprint', fingerprint),
            ('service', crash.service),
            ('crash', crash.crash_id),
            ('ended', len(ended)),
            ('crashes', state.suspects.crashes(fingerprint)),
        )
        emitted.append(effects.Log('crash counted', fields))
    return emitted


def changes_logged(
    state: _state.State,
    crash: quarantine.Crash,
    quarantined: collections.abc.Iterable[str],
    withdrawn: collections.abc.Iterable[str],
) -> Effects:
    """Return log lines about quarantines that a crash begins or disproves."""
    emitted: Effects = [
        effects.Log(
            'request quarantined',
            (
                ('fingerprint', fingerprint),
                ('service', crash.service),
                ('kind', errors.Kind.QUARANTINED.value),
                ('crash', crash.crash_id),
                ('crashes', state.suspects.crashes(fingerprint)),
            ),
            warning=True,
        )
        for fingerprint in quarantined
    ]
    for fingerprint in withdrawn:
        fields = (
            ('fingerprint', fingerprint),
            ('service', crash.service),
            ('crash', crash.crash_id),
        )
        emitted.append(effects.Log('quarantine withdrawn', fields))
    return emitted
