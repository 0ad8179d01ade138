"""Links between gateways: a few each, enough to spread what is new.

A full mesh of gateways would be their number squared. Each gateway opens
links to the next few on a ring ordered by a digest of the names; links are
used both ways. The ring keeps the graph connected as long as no run of
``peer_fanout`` neighbours fails at once, and the further ones, at doubling
distances, make the number of hops logarithmic.
"""

import hashlib

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _claim_leader
from berylhollow.gateway import _link_pacing
from berylhollow.gateway import _state

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Open the links that this gateway should have and has not."""
    done: Effects = []
    room = _link_pacing.room(state)
    for name in chosen(state):
        if len(done) >= room:
            break
        if name in state.peer_links or name in state.peers_opening:
            continue
        if at_ms < state.peer_retry_at_ms.get(name, 0):
            continue
        state.peers_opening.add(name)
        done.append(effects.OpenLink(name, state.peers[name].address))
    return done


def chosen(state: _state.State) -> list[str]:
    """Return the peers to link to, at distances 1, 2, 4 and so on."""
    ring = sorted([state.options.instance, *state.peers], key=_place)
    own = ring.index(state.options.instance)
    distances = [2**power for power in range(state.options.peer_fanout)]
    names = [ring[(own + step) % len(ring)] for step in distances]
    names += _claim_leader.leaders(state)
    return [
        name for name in dict.fromkeys(names) if name != state.options.instance
    ]


def opened(state: _state.State, event: events.LinkOpened) -> Effects:
    """A link to a peer is open, whoever opened it."""
    state.peers_opening.discard(event.peer)
    state.peer_refusals.pop(event.peer, None)
    state.peer_links[event.peer] = event.incarnation
    return state.follower.handle(event)


def refused(state: _state.State, event: events.LinkRefused) -> Effects:
    """Wait before the peer is tried again, the longer the more often."""
    state.peers_opening.discard(event.peer)
    refusals = state.peer_refusals.get(event.peer, 0) + 1
    state.peer_refusals[event.peer] = refusals
    pause_ms = _link_pacing.pause_ms(state, event.peer, refusals)
    state.peer_retry_at_ms[event.peer] = event.at_ms + pause_ms
    return []


def closed(state: _state.State, event: events.LinkClosed) -> Effects:
    """A link to a peer is gone; it is opened again after a moment."""
    pause_ms = _link_pacing.first_pause_ms(state, event.peer)
    state.peer_retry_at_ms[event.peer] = event.at_ms + pause_ms
    state.peers_opening.discard(event.peer)
    state.peer_links.pop(event.peer, None)
    _claim_leader.link_closed(state, event)
    return state.follower.handle(event)


def _place(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
