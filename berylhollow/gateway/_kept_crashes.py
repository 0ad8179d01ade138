"""Crashes at direct endpoints before this gateway started.

Guards against a request that crashes further endpoints because a gateway that
starts sends it out again. Sidecars keep the crashes that they forward, and a
gateway that starts asks some of them.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import quarantine

Effects = list[effects.Effect]

ENOUGH_ANSWERS = 3
"""Answers of sidecars that have run as long as a suspicion lasts. One that
has started since may have missed crashes."""

MAX_ASKED = 16
"""Sidecars that are asked, over as many links as a gateway may have."""

ANSWER_TIMEOUT_MS = 1000
"""Sidecars of an older version don't answer."""


def ask(state: _state.State, at_ms: int) -> Effects:
    """Ask as many further sidecars for their crashes as are needed."""
    sources = state.crash_sources
    if len(sources) >= MAX_ASKED:
        return []
    useful = sum(_is_useful(state, x, at_ms) for x in sources.values())
    count = min(ENOUGH_ANSWERS - useful, MAX_ASKED - len(sources))
    if count <= 0:
        return []
    peers = [x for x in state.linked_sidecars if x not in sources][:count]
    for peer in peers:
        sources[peer] = _state.CrashSource(at_ms)
    return [effects.Send(peer, messages.CrashesWanted()) for peer in peers]


def link_closed(state: _state.State, peer: str) -> None:
    """Let a sidecar be asked again if its answer was lost with its link."""
    source = state.crash_sources.get(peer)
    if source is not None and source.kept_ms is None:
        del state.crash_sources[peer]


def hand_over(state: _state.State, event: events.LinkOpened) -> Effects:
    """Tell a sidecar of the crashes that are known here.

    One that has started since knows of none, and what was reported without a
    link has reached nobody.
    """
    crashes = quarantine.kept_crashes(
        state.suspects, event.at_ms, quarantine.MAX_SENT_RUNS
    )
    if not crashes:
        return []
    kept_ms = event.at_ms - state.started_ms
    fields = (('peer', event.peer), ('crashes', len(crashes)))
    return [
        effects.Log('crashes handed over', fields),
        effects.Send(event.peer, messages.KeptCrashes(kept_ms, crashes)),
    ]


def take_over(state: _state.State, event: events.MessageReceived) -> Effects:
    """Count the crashes that a sidecar has kept, each at its own time.

    It also sends those that another gateway has handed over to it.
    """
    message: messages.KeptCrashes = event.message
    source = state.crash_sources.get(event.peer)
    if source is not None:
        source.kept_ms = message.kept_ms
    emitted: Effects = []
    for kept in message.crashes:
        taken = quarantine.take_over(state.suspects, kept, event.at_ms)
        emitted += [
            _taken_log(state, kept, fingerprint, event.peer)
            for fingerprint in taken.counted
        ]
        emitted += _quarantine.changes_logged(
            state, taken.crash, taken.quarantined, taken.withdrawn
        )
    return emitted + ask(state, event.at_ms)


def _is_useful(
    state: _state.State, source: _state.CrashSource, at_ms: int
) -> bool:
    """Tell whether an answer is complete, or may still arrive."""
    if source.kept_ms is None:
        return at_ms < source.asked_ms + ANSWER_TIMEOUT_MS
    return source.kept_ms >= state.options.suspicion.suspect_ms


def _taken_log(
    state: _state.State,
    kept: messages.KeptCrash,
    fingerprint: str,
    peer: str,
) -> effects.Log:
    fields = (
        ('fingerprint', fingerprint),
        ('service', kept.service),
        ('crash', kept.ended),
        ('age_ms', kept.lost_ms_ago),
        ('crashes', state.suspects.crashes(fingerprint)),
        ('source', peer),
    )
    return effects.Log('crash taken over', fields)
