"""Permits to load from the weight store, and our own pace without one.

A gateway grants the permits of all sidecars linked to it, under the weight
store's limits. Which gateway, each sidecar decides for itself by rendezvous
over its links, so that all agree without a word. The permit is a hint: with
two coordinators the weight store refuses some loads, which are tried again;
with none, each sidecar loads at its own jittered pace, which widens when the
weight store refuses.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow import policy
from berylhollow.sidecar import _state

Effects = list[effects.Effect]
COORDINATOR_KEY = 'loads'
FASTER = 0.8
SLOWER = 2.0


def coordinator(state: _state.State) -> str | None:
    """Return the gateway to ask for permits, None without a link."""
    return policy.rendezvous.highest(COORDINATOR_KEY, state.links)


def may_load(state: _state.State, at_ms: int) -> bool:
    """Tell whether a load may be ordered now."""
    pacing = state.pacing
    if pacing.permit and at_ms < pacing.lapses_ms:
        return True
    if coordinator(state) is not None and not _silent(state, at_ms):
        return False
    return at_ms >= pacing.next_ms


def interval_ms(state: _state.State) -> float:
    """Return how far our next loads lie apart, as far as is known."""
    pacing = state.pacing
    own_ms = max(state.load_ms, state.options.load_interval_ms)
    if pacing.permit or coordinator(state) is None:
        return own_ms
    return max(pacing.turn_ms, own_ms)


def ask(
    state: _state.State, want: policy.Want, value: float, at_ms: int
) -> Effects:
    """Tell the coordinator of our best wish, when it changes or is old."""
    pacing = state.pacing
    peer = coordinator(state)
    if peer is None:
        return []
    asked = pacing.asked
    same = asked is not None and (
        (asked.adapter, asked.waiting) == (want.adapter, want.waiting)
    )
    if same and at_ms - pacing.asked_ms < state.options.load_ask_ms:
        return []
    pacing.asked = messages.LoadWanted(
        instance=state.options.instance,
        service=state.options.service,
        adapter=want.adapter,
        waiting=want.waiting,
        oldest_wait_ms=want.oldest_wait_ms,
        priority=want.priority,
        value=value,
    )
    pacing.asked_ms = at_ms
    if pacing.unanswered_ms is None:
        pacing.unanswered_ms = at_ms
    return [effects.Send(peer, pacing.asked)]


def granted(state: _state.State, event: events.MessageReceived) -> Effects:
    """Keep a permit; one that comes on top of another is given back."""
    pacing = state.pacing
    pacing.unanswered_ms = None
    message = event.message
    if pacing.permit and event.at_ms < pacing.lapses_ms:
        return [_returned(state, event.peer, message.permit)]
    pacing.permit = message.permit
    pacing.granter = event.peer
    pacing.lapses_ms = event.at_ms + message.for_ms
    return []


def deferred(state: _state.State, event: events.MessageReceived) -> Effects:
    """The coordinator is there: wait for its permit."""
    state.pacing.unanswered_ms = None
    state.pacing.turn_ms = float(event.message.for_ms)
    return []


def used(state: _state.State, at_ms: int) -> None:
    """A load begins: it takes the permit, or our own turn."""
    pacing = state.pacing
    pacing.asked = None
    pacing.unanswered_ms = None
    if pacing.permit and at_ms < pacing.lapses_ms:
        pacing.used_permit = pacing.permit
        pacing.used_granter = pacing.granter
        pacing.permit = 0
        return
    pacing.used_permit = 0
    _wait(state, at_ms)


def ended(state: _state.State, loaded: bool) -> Effects:
    """A load is over: give its permit back, and learn our own pace."""
    pacing = state.pacing
    if loaded:
        shorter = pacing.interval_ms * FASTER
        pacing.interval_ms = max(state.options.load_interval_ms, shorter)
    if not pacing.used_permit:
        return []
    message = messages.LoadEnded(
        state.options.instance, pacing.used_permit, loaded
    )
    pacing.used_permit = 0
    return [effects.Send(pacing.used_granter, message)]


def refused_by_rate(state: _state.State, at_ms: int) -> None:
    """The weight store refused: others load too, so load less often."""
    pacing = state.pacing
    pacing.interval_ms = min(
        state.options.load_longest_interval_ms,
        max(pacing.interval_ms, state.options.load_interval_ms) * SLOWER,
    )
    _wait(state, at_ms)


def unneeded(state: _state.State, at_ms: int) -> Effects:
    """Nothing is to be loaded: give back a permit that was not used."""
    pacing = state.pacing
    pacing.asked = None
    pacing.unanswered_ms = None
    if not pacing.permit:
        return []
    permit, pacing.permit = pacing.permit, 0
    if at_ms >= pacing.lapses_ms:
        return []
    return [_returned(state, pacing.granter, permit)]


def _silent(state: _state.State, at_ms: int) -> bool:
    """Tell whether the coordinator has not answered for too long."""
    since_ms = state.pacing.unanswered_ms
    if since_ms is None:
        return False
    return at_ms - since_ms >= state.options.coordinator_silence_ms


def _wait(state: _state.State, at_ms: int) -> None:
    """Set our own next turn, with jitter so that sidecars spread."""
    pacing = state.pacing
    interval_ms = max(pacing.interval_ms, state.options.load_interval_ms)
    pacing.next_ms = at_ms + int(interval_ms * (0.5 + pacing.seed))


def _returned(state: _state.State, peer: str, permit: int) -> effects.Send:
    message = messages.LoadEnded(state.options.instance, permit, False)
    return effects.Send(peer, message)
