"""Configuration records that sidecars keep for gateways that lack them.

The log may lose its newest records when it comes back from an older copy, and
only the processes that have read them still know them. A sidecar that relays
reads keeps the newest record, and a gateway that knows only the number of a
newer revision asks for it.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import stream_parts

Effects = list[effects.Effect]

ASK_AFTER_MS = 400
"""How long a newer revision may be on its way before a sidecar is asked."""

ASK_PAUSE_MS = 250
MAX_ASK_PAUSE_MS = 4000
"""Pause between two requests, doubled with each round of all sidecars."""

UNFOUNDED_MS = 30_000
"""After this a revision that neither the log nor a process has is considered
wrong. The writers of a restored log write again within seconds."""


def tick(state: _state.State, at_ms: int) -> Effects:
    """Ask for a newer record that is overdue; drop unfounded revisions."""
    behind_ms = state.behind_ms(at_ms)
    if behind_ms is None:
        state.records_asked = 0
        return []
    done = _drop_unfounded(state, at_ms)
    if behind_ms < ASK_AFTER_MS or at_ms < state.ask_record_ms:
        return done
    peers = _peers_to_ask(state)
    if not peers:
        return done
    rounds, index = divmod(state.records_asked, len(peers))
    pause_ms = min(ASK_PAUSE_MS * 2 ** min(rounds, 8), MAX_ASK_PAUSE_MS)
    state.records_asked += 1
    state.ask_record_ms = at_ms + pause_ms
    wanted = messages.RecordWanted(state.revision)
    return [*done, effects.Send(peers[index], wanted)]


def send(state: _state.State, event: events.MessageReceived) -> Effects:
    """Send a sidecar the record in force, if it is newer than the kept one."""
    record = state.follower.newest_record()
    if not record or state.revision <= event.message.above:
        return []
    data = stream_parts.compress_record(record)
    if len(data) > stream_parts.MAX_SENT_BYTES:
        return []
    kept = messages.KeptRecord(state.revision, len(record), data)
    return [effects.Send(event.peer, kept)]


def apply(state: _state.State, event: events.MessageReceived) -> Effects:
    """Apply a record that a sidecar kept, if it is newer and valid."""
    kept = event.message
    fields = (
        ('peer', event.peer),
        ('revision', kept.revision),
        ('size_bytes', kept.size_bytes),
    )
    if kept.revision <= state.revision:
        return []
    try:
        record = stream_parts.decompress_record(kept.data, kept.size_bytes)
    except stream_parts.CorruptPartError as error:
        text = 'kept record is corrupt'
        return [effects.Log(text, (*fields, ('reason', str(error))), True)]
    known_ms = state.behind_ms(event.at_ms)
    done = state.follower.apply_record(record, event.at_ms)
    is_applied = state.revision == kept.revision
    text = (
        'kept record applied'
        if is_applied
        else 'kept record is of another revision'
    )
    fields += (('in_force', state.revision), ('known_ms', known_ms))
    return [*done, effects.Log(text, fields, warning=not is_applied)]


def _peers_to_ask(state: _state.State) -> list[str]:
    """Return the sidecars that know of a newer revision, relays first."""
    relays = set(state.relays)
    peers = [
        peer
        for peer, sidecar in state.sidecars.items()
        if sidecar.report is not None
        and sidecar.report.revision > state.revision
    ]
    return sorted(peers, key=lambda peer: (peer not in relays, peer))


def _drop_unfounded(state: _state.State, at_ms: int) -> Effects:
    """Stop counting a revision that the log still lacks after a while."""
    known = state.known_revisions
    since_ms = known.earliest_ms(state.revision)
    if since_ms is None or at_ms < since_ms + UNFOUNDED_MS:
        return []
    if not state.follower.was_read_since(since_ms + UNFOUNDED_MS):
        return state.follower.check_log(at_ms)
    newest = known.newest
    known.drop_unfounded(state.revision, since_ms)
    fields = (
        ('revision', state.revision),
        ('newest', newest),
        ('known_ms', at_ms - since_ms),
    )
    return [effects.Log('newer revision is unfounded', fields, warning=True)]
