"""Links between gateways: a few each, enough to spread news to all.

The links of a full mesh would grow with the square of the gateways. Instead,
each gateway opens links to ``peer_fanout`` others on a ring ordered by a
digest of the names; links are used both ways. The ring keeps the graph
connected as long as no run of ``peer_fanout`` neighbours fails at once. The
distances on it double, which makes the number of hops logarithmic.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _claim_leader
from berylhollow.gateway import _link_pacing
from berylhollow.gateway import _state
from berylhollow.util import hash_ring

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Open missing links to the chosen peers, within the limit."""
    result: Effects = []
    allowed = _link_pacing.opening_capacity(state)
    for name in chosen_peers(state):
        if len(result) >= allowed:
            break
        if name in state.peer_links or name in state.peer_links_opening:
            continue
        if at_ms < state.peer_retry_at_ms.get(name, 0):
            continue
        state.peer_links_opening.add(name)
        result.append(effects.OpenLink(name, state.peers[name].address))
    return result


def chosen_peers(state: _state.State) -> list[str]:
    """Return the peers at distances 1, 2, 4 and so on, and claim leaders."""
    members = state.options.instance, *state.peers
    ring = hash_ring.HashRing(members).members
    own = ring.index(state.options.instance)
    distances = [2**power for power in range(state.options.peer_fanout)]
    names = [ring[(own + step) % len(ring)] for step in distances]
    names += _claim_leader.peer_leaders(state)
    return [
        name for name in dict.fromkeys(names) if name != state.options.instance
    ]


def opened(state: _state.State, event: events.LinkOpened) -> Effects:
    """Handle an open link to a peer, whichever end opened it."""
    state.peer_links_opening.discard(event.peer)
    state.peer_refusals.pop(event.peer, None)
    state.peer_links[event.peer] = event.incarnation
    return state.follower.handle(event)


def refused(state: _state.State, event: events.LinkRefused) -> Effects:
    """Schedule a retry of the link, with a growing back-off."""
    state.peer_links_opening.discard(event.peer)
    refusals = state.peer_refusals.get(event.peer, 0) + 1
    state.peer_refusals[event.peer] = refusals
    pause_ms = _link_pacing.pause_ms(state, event.peer, refusals)
    state.peer_retry_at_ms[event.peer] = event.at_ms + pause_ms
    return []


def closed(state: _state.State, event: events.LinkClosed) -> Effects:
    """Handle a closed link; it is reopened after the first pause."""
    pause_ms = _link_pacing.first_pause_ms(state, event.peer)
    state.peer_retry_at_ms[event.peer] = event.at_ms + pause_ms
    state.peer_links_opening.discard(event.peer)
    state.peer_links.pop(event.peer, None)
    _claim_leader.link_closed(state, event)
    return state.follower.handle(event)
