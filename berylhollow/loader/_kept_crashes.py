"""Crashes that a sidecar keeps for gateways that start.

Guards against a request that crashes further endpoints through a gateway that
does not know of those it has crashed. The sidecar counts what it forwards as
gateways do, and forgets it when they do. While gateways of an older version
are linked it keeps nothing: they tell only one sidecar what they clear.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.loader import _state
from berylhollow import messages
from berylhollow import quarantine

Effects = list[effects.Effect]


def keep(state: _state.State, event: events.MessageReceived) -> None:
    """Keep a crash that is forwarded, unless its clearing may be missed."""
    if _may_miss_clearings(state):
        return
    message: messages.Crashed = event.message
    crash = quarantine.Crash(
        message.crash_id, message.service, message.fingerprints, message.runs
    )
    state.suspects.count_crash(crash, event.at_ms)
    state.suspects.withdraw(crash, event.at_ms)


def take_over(
    state: _state.State, event: events.MessageReceived
) -> messages.KeptCrashes | None:
    """Keep the crashes that a gateway hands over; return what is new."""
    if _may_miss_clearings(state):
        return None
    message: messages.KeptCrashes = event.message
    new = tuple(
        kept
        for kept in message.crashes
        if quarantine.take_over(state.suspects, kept, event.at_ms).counted
    )
    if not new:
        return None
    return messages.KeptCrashes(event.at_ms - state.kept_since_ms, new)


def forget(state: _state.State, event: events.MessageReceived) -> None:
    """Forget crashes of a request that ran well after them."""
    message: messages.Cleared | messages.ForgetCrashes = event.message
    state.suspects.disprove(message.fingerprint, message.ended)


def drop_uncertain(state: _state.State, event: events.MessageReceived) -> None:
    """Begin anew if a gateway's demand shows that it is an older version."""
    if event.message.tells_clearings:
        return
    state.suspects.clear_all()
    state.kept_since_ms = event.at_ms


def send(state: _state.State, event: events.MessageReceived) -> Effects:
    """Send a gateway that has started the crashes that count."""
    at_ms = event.at_ms
    crashes = quarantine.kept_crashes(
        state.suspects, at_ms, quarantine.MAX_SENT_RUNS
    )
    kept = messages.KeptCrashes(at_ms - state.kept_since_ms, crashes)
    fields = (
        ('peer', event.peer),
        ('crashes', len(crashes)),
        ('kept_ms', kept.kept_ms),
    )
    log = [effects.Log('crashes handed over', fields)] if crashes else []
    return [*log, effects.Send(event.peer, kept)]


def _may_miss_clearings(state: _state.State) -> bool:
    """Tell whether a gateway of an older version is linked."""
    return any(
        peer in state.links and not last.demands.tells_clearings
        for peer, last in state.demand.by_gateway.items()
    )
