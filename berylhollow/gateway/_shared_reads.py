"""Shares reads of the platform's log with the gateways of a failure domain.

Gateways have no links to each other here, but all have one to the sidecar
beside each model endpoint. A few sidecars in the gateway's own failure domain
relay what one of its gateways has read, as traffic within a failure domain
costs nothing.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow.policy import rendezvous

Effects = list[effects.Effect]

RELAY_COUNT = 3
"""Sidecars to which a gateway sends what it reads. All gateways rank them
alike and listen to the first that they have a link to, so the reader or a
listener can lose two of them before a gateway has to read for itself."""


def choose_relays(state: _state.State) -> None:
    """Choose the relays among the sidecars that are linked now."""
    domain = state.options.failure_domain
    linked = [
        peer
        for peer, name in state.endpoint_by_peer.items()
        if state.sidecars[peer].link is _state.LinkPhase.OPEN
        and state.endpoints[name].instance.failure_domain == domain
    ]
    old_source = state.relays[:1]
    state.relays = tuple(sorted(linked, key=rendezvous.digest)[:RELAY_COUNT])
    if state.relays[:1] == old_source:
        return
    for peer in (*old_source, *state.relays[:1]):
        if peer in state.sidecars:
            # Send both the demand at once: it says which one we listen to.
            state.sidecars[peer].told_ms = clock.NEVER_MS


def listens_to(state: _state.State, peer: str) -> bool:
    """Tell whether a sidecar relays to us what other gateways read."""
    return state.relays[:1] == (peer,)


def announce_revision(state: _state.State) -> None:
    """Send the relays the own revision soon, and with it the demand.

    They pass it on to gateways that may not have received the configuration.
    """
    for peer in state.relays:
        state.sidecars[peer].told_ms = clock.NEVER_MS


def relay_stream_part(
    state: _state.State, event: events.StreamPartRead
) -> Effects:
    """Send a part of a stream that was read here to the relays."""
    return [effects.Send(peer, event.part) for peer in state.relays]


def apply_stream_part(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Apply a part of a stream that another gateway has read.

    If it may concern endpoints, the instance list is read at once, not at
    the next poll: a leaving endpoint must be known as soon as if this
    gateway had read the part itself.
    """
    part = event.message
    result: Effects = [effects.TakeStreamPart(part)]
    if part.stream != state.follower.stream:
        state.instances_read_ms = event.at_ms
        result.append(effects.ReadInstances())
    return result
