"""Grants sidecars permits to load adapters from the weight store.

Any gateway can be the coordinator; the sidecars choose one by rendezvous
hashing. Correctness doesn't depend on it: permits only keep the sidecars
within the weight store's limits and let the most valuable loads go first. A
gateway that takes over starts without state, and all sidecars send it their
requests again.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]
LOAD_TIME_SMOOTHING = 0.2
"""Weight of the latest load in the average load time."""

LAPSE_FACTOR = 4
"""A permit is valid for this many average load times, or for
``load_lapse_ms`` if that is longer."""

MS_PER_SECOND = 1000


def wanted(state: _state.State, event: events.MessageReceived) -> Effects:
    """Store the load that a sidecar wants most; grant permits or defer it."""
    book = state.load_coordination
    message = event.message
    book.wanted_loads[event.peer] = _state.WantedLoad(message, event.at_ms)
    result = _grant_permits(state, event.at_ms)
    if event.peer in book.wanted_loads:
        spacing_ms = max(book.load_ms, MS_PER_SECOND / book.rate.rate_per_s)
        wait_ms = int(len(book.wanted_loads) * spacing_ms)
        deferred = messages.LoadDeferred(message.adapter, wait_ms)
        result.append(effects.Send(event.peer, deferred))
    return result


def ended(state: _state.State, event: events.MessageReceived) -> Effects:
    """Take back the permit of a load that ended, and grant the next.

    Permits are numbered anew with each start of a coordinator: the number of
    one that an earlier start has granted may be that of another sidecar now.
    """
    book = state.load_coordination
    permit = book.permits.get(event.message.permit)
    if permit is None or permit.peer != event.peer:
        return _grant_permits(state, event.at_ms)
    del book.permits[event.message.permit]
    if event.message.loaded:
        took_ms = event.at_ms - permit.granted_ms
        book.load_ms += LOAD_TIME_SMOOTHING * (took_ms - book.load_ms)
    return _grant_permits(state, event.at_ms)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Drop lapsed permits and old requests for one, and grant the next.

    Without this, a load that hangs or a sidecar that dies with its permit
    would block the other sidecars for ever.
    """
    book = state.load_coordination
    for number in [
        number
        for number, permit in book.permits.items()
        if at_ms >= permit.lapses_ms
    ]:
        del book.permits[number]
    oldest_ms = at_ms - state.options.load_wish_ms
    for peer in [
        peer
        for peer, wish in book.wanted_loads.items()
        if wish.at_ms < oldest_ms
    ]:
        del book.wanted_loads[peer]
    return _grant_permits(state, at_ms)


def _grant_permits(state: _state.State, at_ms: int) -> Effects:
    """Grant permits, most valuable load first, within limit and rate."""
    book = state.load_coordination
    result: Effects = []
    while (
        book.wanted_loads and len(book.permits) < state.options.loads_at_once
    ):
        if not book.rate.try_take(at_ms):
            break
        peer = max(book.wanted_loads, key=lambda name: _load_value(book, name))
        result.append(_issue_permit(state, peer, at_ms))
    return result


def _load_value(book: _state.LoadCoordination, peer: str) -> tuple[float, str]:
    """Return the value of a sidecar's load, and its name to break ties."""
    return book.wanted_loads[peer].message.value, peer


def _issue_permit(state: _state.State, peer: str, at_ms: int) -> effects.Send:
    """Issue a permit for the load that a sidecar wants."""
    book = state.load_coordination
    wish = book.wanted_loads.pop(peer)
    book.granted += 1
    valid_ms = int(
        max(state.options.load_lapse_ms, LAPSE_FACTOR * book.load_ms)
    )
    book.permits[book.granted] = _state.Permit(peer, at_ms, at_ms + valid_ms)
    granted = messages.LoadGranted(
        wish.message.adapter, book.granted, valid_ms
    )
    return effects.Send(peer, granted)
