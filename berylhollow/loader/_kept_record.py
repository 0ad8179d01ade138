"""The newest configuration record, kept for gateways that lack it."""

from berylhollow import effects
from berylhollow import events
from berylhollow.loader import _state
from berylhollow import messages
from berylhollow import stream_parts

Effects = list[effects.Effect]

ASK_PAUSE_MS = 1000
"""Pause between two requests for a record."""


def ask_if_missing(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Ask a gateway for its record if it has a newer one than is kept here.

    Only sidecars that relay reads keep it, and only from the gateways that
    they relay to: one copy in a failure domain is enough, and traffic within
    it costs nothing.
    """
    if event.message.revision <= state.kept_revision:
        return []
    if event.at_ms < state.ask_record_ms:
        return []
    if not event.message.shares_reads:
        return []
    state.ask_record_ms = event.at_ms + ASK_PAUSE_MS
    wanted = messages.RecordWanted(state.kept_revision)
    return [effects.Send(event.peer, wanted)]


def keep(state: _state.State, event: events.MessageReceived) -> Effects:
    """Keep a record if it is newer than the one that is kept."""
    record = event.message
    if record.revision <= state.kept_revision:
        return []
    if len(record.data) > stream_parts.MAX_SENT_BYTES:
        return []
    state.kept_record = record
    fields = (
        ('peer', event.peer),
        ('revision', record.revision),
        ('compressed_bytes', len(record.data)),
    )
    return [effects.Log('configuration record kept', fields)]


def send(state: _state.State, event: events.MessageReceived) -> Effects:
    """Send a gateway the record that it lacks."""
    if state.kept_revision <= event.message.above:
        return []
    return [effects.Send(event.peer, state.kept_record)]
