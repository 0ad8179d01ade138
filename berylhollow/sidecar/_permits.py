"""Permits to load from the weight store, and local pacing without one.

One gateway, the load coordinator, grants permits to all sidecars linked to
it, within the weight store's limits. Each sidecar chooses the coordinator by
rendezvous hashing over its links, so that all agree without communication.
A permit is only a hint: with two coordinators the weight store refuses some
loads, which are retried; with none, each sidecar loads at its own interval
with jitter, which widens when the weight store refuses a load.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow import policy
from berylhollow.sidecar import _state

Effects = list[effects.Effect]
COORDINATOR_KEY = 'loads'
SUCCESS_INTERVAL_FACTOR = 0.8
REFUSAL_INTERVAL_FACTOR = 2.0


def coordinator(state: _state.State) -> str | None:
    """Return the gateway that grants permits, None without a link."""
    return policy.rendezvous.highest(COORDINATOR_KEY, state.links)


def may_load(state: _state.State, at_ms: int) -> bool:
    """Tell whether a load may be ordered now."""
    pacing = state.pacing
    if pacing.permit and at_ms < pacing.permit_expires_ms:
        return True
    if coordinator(state) is not None and not _is_unanswered(state, at_ms):
        return False
    return at_ms >= pacing.next_load_ms


def interval_ms(state: _state.State) -> float:
    """Return the expected interval between this sidecar's loads."""
    pacing = state.pacing
    own_ms = max(state.load_ms, state.options.load_interval_ms)
    if pacing.permit or coordinator(state) is None:
        return own_ms
    return max(pacing.grant_wait_ms, own_ms)


def request_permit(
    state: _state.State, want: policy.AwaitedAdapter, value: float, at_ms: int
) -> Effects:
    """Request a permit if the wanted load changed or the request is old."""
    pacing = state.pacing
    peer = coordinator(state)
    if peer is None:
        return []
    asked = pacing.last_request
    same = asked is not None and (
        (asked.adapter, asked.waiting) == (want.adapter, want.waiting)
    )
    if (
        same
        and at_ms - pacing.last_request_ms
        < state.options.permit_request_interval_ms
    ):
        return []
    pacing.last_request = messages.LoadWanted(
        instance=state.options.instance,
        service=state.options.service,
        adapter=want.adapter,
        waiting=want.waiting,
        oldest_wait_ms=want.oldest_wait_ms,
        priority=want.priority,
        value=value,
    )
    pacing.last_request_ms = at_ms
    if pacing.unanswered_since_ms is None:
        pacing.unanswered_since_ms = at_ms
    return [effects.Send(peer, pacing.last_request)]


def store_permit(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Store a granted permit; return it if one is already held."""
    pacing = state.pacing
    pacing.unanswered_since_ms = None
    message = event.message
    if pacing.permit and event.at_ms < pacing.permit_expires_ms:
        return [_return_permit(state, event.peer, message.permit)]
    pacing.permit = message.permit
    pacing.permit_peer = event.peer
    pacing.permit_expires_ms = event.at_ms + message.for_ms
    return []


def record_deferral(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Record the coordinator's answer that a permit will come later."""
    state.pacing.unanswered_since_ms = None
    state.pacing.grant_wait_ms = float(event.message.for_ms)
    return []


def use_permit(state: _state.State, at_ms: int) -> None:
    """Spend the permit on a starting load, or else pace the next load."""
    pacing = state.pacing
    pacing.last_request = None
    pacing.unanswered_since_ms = None
    if pacing.permit and at_ms < pacing.permit_expires_ms:
        pacing.active_permit = pacing.permit
        pacing.active_permit_peer = pacing.permit_peer
        pacing.permit = 0
        return
    pacing.active_permit = 0
    _schedule_next_load(state, at_ms)


def end_load(state: _state.State, loaded: bool) -> Effects:
    """Return the permit of an ended load; shorten the interval on success."""
    pacing = state.pacing
    if loaded:
        shorter = pacing.interval_ms * SUCCESS_INTERVAL_FACTOR
        pacing.interval_ms = max(state.options.load_interval_ms, shorter)
    if not pacing.active_permit:
        return []
    message = messages.LoadEnded(
        state.options.instance, pacing.active_permit, loaded
    )
    pacing.active_permit = 0
    return [effects.Send(pacing.active_permit_peer, message)]


def widen_interval(state: _state.State, at_ms: int) -> None:
    """Widen the load interval after a refusal by the weight store."""
    pacing = state.pacing
    pacing.interval_ms = min(
        state.options.max_load_interval_ms,
        max(pacing.interval_ms, state.options.load_interval_ms)
        * REFUSAL_INTERVAL_FACTOR,
    )
    _schedule_next_load(state, at_ms)


def return_unused_permit(state: _state.State, at_ms: int) -> Effects:
    """Return the unused permit when there is nothing to load."""
    pacing = state.pacing
    pacing.last_request = None
    pacing.unanswered_since_ms = None
    if not pacing.permit:
        return []
    permit, pacing.permit = pacing.permit, 0
    if at_ms >= pacing.permit_expires_ms:
        return []
    return [_return_permit(state, pacing.permit_peer, permit)]


def _is_unanswered(state: _state.State, at_ms: int) -> bool:
    """Tell whether the last request has been unanswered for too long."""
    since_ms = state.pacing.unanswered_since_ms
    if since_ms is None:
        return False
    return at_ms - since_ms >= state.options.coordinator_silence_ms


def _schedule_next_load(state: _state.State, at_ms: int) -> None:
    """Schedule the next load without a permit, with jitter.

    Jitter keeps the sidecars from loading at the same time.
    """
    pacing = state.pacing
    interval_ms = max(pacing.interval_ms, state.options.load_interval_ms)
    pacing.next_load_ms = at_ms + int(interval_ms * (0.5 + pacing.seed))


def _return_permit(
    state: _state.State, peer: str, permit: int
) -> effects.Send:
    message = messages.LoadEnded(state.options.instance, permit, False)
    return effects.Send(peer, message)
