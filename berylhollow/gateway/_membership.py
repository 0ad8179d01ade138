"""Which endpoints there are, and the links to their sidecars.

The instance list lags, so it only says whom to try. Whether an endpoint
takes work is known from its own sidecar: an open link, its reports, and its
refusal of an offer.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _state

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Read the instance list when it is due, open links that are missing."""
    done: Effects = []
    if at_ms - state.instances_read_ms >= state.options.instance_poll_ms:
        state.instances_read_ms = at_ms
        done.append(effects.ReadInstances())
    for name, endpoint in state.endpoints.items():
        done += _open_link(name, endpoint, at_ms)
        done += _say_farewell(name, endpoint)
    return done


def tick_follower(state: _state.State, at_ms: int) -> Effects:
    """Let the configuration follower ask for what it is missing."""
    view = state.follower.current
    done = following.announce(state.served_revision, view)
    state.served_revision = view.revision if view else 0
    gateways = [state.options.instance, *state.peers]
    return done + state.follower.tick(
        at_ms, gateways, _open_peers(state), state.options.instance
    )


def listed(state: _state.State, event: events.InstancesListed) -> Effects:
    """Take the instance list in; drop an endpoint that left it.

    An endpoint that is no longer listed stays while attempts are in flight
    there: the list may be wrong, and its answers are still owed to callers.
    """
    rows = {row.instance: row for row in event.instances}
    done: Effects = []
    for name, row in rows.items():
        if name == state.options.instance:
            continue
        if row.role is events.Role.GATEWAY:
            state.peers[name] = row
        else:
            done += _endpoint_listed(state, row)
    for name in [name for name in state.peers if name not in rows]:
        del state.peers[name]
    for name in [name for name in state.endpoints if name not in rows]:
        endpoint = state.endpoints[name]
        if not endpoint.placed:
            state.placement.remove(
                name, endpoint.instance.service, endpoint.report
            )
            del state.endpoints[name]
            done.append(effects.CloseLink(name))
    done += state.follower.handle(event)
    return done + tick(state, event.at_ms)


def reported(state: _state.State, event: events.MessageReceived) -> Effects:
    """Keep a sidecar's report of its endpoint: a hint for the next choice."""
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return []
    state.placement.replace(event.peer, endpoint.report, event.message)
    endpoint.report = event.message
    endpoint.report_at_ms = event.at_ms
    endpoint.placed_at_report = len(endpoint.placed)
    endpoint.leaving = event.message.leaving
    return []


def link_refused(state: _state.State, event: events.LinkRefused) -> Effects:
    """Wait a little before the link is tried again."""
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return []
    endpoint.link = _state.LinkPhase.CLOSED
    endpoint.retry_link_at_ms = event.at_ms + state.options.link_retry_ms
    return []


def _endpoint_listed(state: _state.State, row: events.Instance) -> Effects:
    endpoint = state.endpoints.get(row.instance)
    if endpoint is None:
        endpoint = _state.Endpoint(instance=row)
        state.endpoints[row.instance] = endpoint
        state.placement.add(row.instance, row.service)
    moved = endpoint.instance.address != row.address
    endpoint.instance = row
    endpoint.leaving = endpoint.leaving or row.leaving
    if moved and endpoint.link is not _state.LinkPhase.CLOSED:
        return [effects.CloseLink(row.instance)]
    return []


def _open_link(
    name: str, endpoint: _state.Endpoint, at_ms: int
) -> list[effects.Effect]:
    if endpoint.link is not _state.LinkPhase.CLOSED:
        return []
    if at_ms < endpoint.retry_link_at_ms:
        return []
    endpoint.link = _state.LinkPhase.OPENING
    return [effects.OpenLink(name, endpoint.instance.address)]


def _say_farewell(
    name: str, endpoint: _state.Endpoint
) -> list[effects.Effect]:
    """Close the link to a leaving endpoint that owes us nothing more.

    Its sidecar waits for this before it exits: after it, no offer of ours
    can be under way.
    """
    if not endpoint.leaving or endpoint.placed:
        return []
    if endpoint.link is not _state.LinkPhase.OPEN:
        return []
    return [effects.CloseLink(name)]


def _open_peers(state: _state.State) -> list[str]:
    endpoints = [
        name
        for name, endpoint in state.endpoints.items()
        if endpoint.link is _state.LinkPhase.OPEN
    ]
    return [*state.peer_links, *endpoints]
