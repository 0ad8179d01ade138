"""Permits to load from the weight store, for the sidecars that ask.

Every gateway can do this; the sidecars agree by rendezvous on one. Nothing
rests on it: the permits only keep the sidecars from running into the weight
store's limits, and make them load what is worth most first. A gateway that
takes over begins with an empty book and is told all wishes anew.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]
SMOOTHING = 0.2
LAPSE_FACTOR = 4
MS_PER_SECOND = 1000


def wanted(state: _state.State, event: events.MessageReceived) -> Effects:
    """Note a sidecar's best wish and grant what can be granted."""
    book = state.load_book
    message = event.message
    book.wishes[event.peer] = _state.Wish(message, event.at_ms)
    done = _grant(state, event.at_ms)
    if event.peer in book.wishes:
        spacing_ms = max(book.load_ms, MS_PER_SECOND / book.rate.rate_per_s)
        wait_ms = int(len(book.wishes) * spacing_ms)
        deferred = messages.LoadDeferred(message.adapter, wait_ms)
        done.append(effects.Send(event.peer, deferred))
    return done


def ended(state: _state.State, event: events.MessageReceived) -> Effects:
    """A sidecar gives its permit back."""
    book = state.load_book
    permit = book.permits.pop(event.message.permit, None)
    if permit is not None and event.message.loaded:
        took_ms = event.at_ms - permit.granted_ms
        book.load_ms += SMOOTHING * (took_ms - book.load_ms)
    return _grant(state, event.at_ms)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Let permits lapse and old wishes go, and grant the next.

    Guards against a load that hangs and a sidecar that died with its
    permit: the others would wait for ever.
    """
    book = state.load_book
    for number in [
        number
        for number, permit in book.permits.items()
        if at_ms >= permit.lapses_ms
    ]:
        del book.permits[number]
    oldest_ms = at_ms - state.options.load_wish_ms
    for peer in [
        peer for peer, wish in book.wishes.items() if wish.at_ms < oldest_ms
    ]:
        del book.wishes[peer]
    return _grant(state, at_ms)


def _grant(state: _state.State, at_ms: int) -> Effects:
    book = state.load_book
    done: Effects = []
    while book.wishes and len(book.permits) < state.options.loads_at_once:
        if not book.rate.take(at_ms):
            break
        peer = max(book.wishes, key=lambda name: _urgency(book, name))
        done.append(_permit(state, peer, at_ms))
    return done


def _urgency(book: _state.LoadBook, peer: str) -> tuple[float, str]:
    return book.wishes[peer].message.value, peer


def _permit(state: _state.State, peer: str, at_ms: int) -> effects.Send:
    book = state.load_book
    wish = book.wishes.pop(peer)
    book.granted += 1
    for_ms = int(max(state.options.load_lapse_ms, LAPSE_FACTOR * book.load_ms))
    book.permits[book.granted] = _state.Permit(peer, at_ms, at_ms + for_ms)
    granted = messages.LoadGranted(wish.message.adapter, book.granted, for_ms)
    return effects.Send(peer, granted)
