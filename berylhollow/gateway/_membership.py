"""Which endpoints there are, and the links to their sidecars.

The instance list lags, so it only says whom to try. Whether an endpoint
takes work is known from its own sidecar: an open link, its reports, and its
refusal of an offer.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _crashes
from berylhollow.gateway import _link_pacing
from berylhollow.gateway import _model_loads
from berylhollow.gateway import _notices
from berylhollow.gateway import _quotas
from berylhollow.gateway import _sidecars
from berylhollow.gateway import _state

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Read the instance list when it is due, open links that are missing."""
    done: Effects = []
    if at_ms - state.instances_read_ms >= _poll_ms(state, at_ms):
        state.instances_read_ms = at_ms
        done.append(effects.ReadInstances())
    due: list[str] = []
    for name, endpoint in state.endpoints.items():
        done += _end_hold(state, endpoint, at_ms)
        if _may_open(endpoint, at_ms):
            due.append(name)
        done += _say_farewell(name, endpoint)
    return done + _open_links(state, due) + _sidecars.tick(state, at_ms)


def _poll_ms(state: _state.State, at_ms: int) -> int:
    """Return the pause between two reads of the instance list."""
    if _is_lost(state, at_ms):
        return min(
            state.options.instance_poll_ms, state.options.instance_retry_ms
        )
    return state.options.instance_poll_ms


def _is_lost(state: _state.State, at_ms: int) -> bool:
    return state.list_age_ms(at_ms) >= state.options.instance_lost_ms


def _end_hold(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> Effects:
    """Send nothing more to an endpoint that did not come back in time.

    Guards against one that is off the list and is sent requests until the
    next list is read. Not while the list is lost: an outage that follows on
    another gives nobody the time to come back.
    """
    until_ms = endpoint.instance.until_ms
    if until_ms is None or at_ms < until_ms or not endpoint.listed:
        return []
    if _is_lost(state, at_ms):
        return []
    endpoint.listed = False
    return [_told('endpoint did not come back', endpoint.instance)]


def tick_follower(state: _state.State, at_ms: int) -> Effects:
    """Let the configuration follower ask for what it is missing."""
    view = state.follower.current
    done = following.announce(state.served_revision, view)
    if done:
        # Which endpoints have a sidecar is known by the configuration. Where
        # the list came first, links and loads would wait for the next one,
        # up to 0.7 s after every start.
        _sidecars.listed(state)
        _quotas.declared(state, at_ms)
        done += _sidecars.tick(state, at_ms)
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
    state.listed_ms = event.at_ms
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
        state.peer_refusals.pop(name, None)
        state.peer_retry_at_ms.pop(name, None)
    for name in [name for name in state.endpoints if name not in rows]:
        endpoint = state.endpoints[name]
        if not endpoint.placed:
            if not endpoint.leaving:
                done += _crashes.over(state, name, event.at_ms)
            state.placement.remove(
                name, endpoint.instance.service, endpoint.report
            )
            del state.endpoints[name]
            _notices.forget(state, endpoint)
            _model_loads.forget(state, name, endpoint.instance.service)
            _sidecars.forget(state, name)
            done.append(_gone(endpoint))
        elif endpoint.instance.direct:
            # Its answers are still owed, but it gets nothing new.
            endpoint.listed = False
    done += _superseded(state, event.instances, event.at_ms)
    _sidecars.listed(state)
    done += state.follower.handle(event)
    return done + tick(state, event.at_ms)


def _superseded(
    state: _state.State, rows: tuple[events.Instance, ...], at_ms: int
) -> Effects:
    """Send nothing more to an incarnation whose address another has taken.

    The list shows both for some seconds, the one that wrote last at the end.
    Guards against requests that are refused by the new one, time and again.
    Decided anew from each list: the one that lives writes again and is the
    last then, so that no other entry takes its address from it for good.
    """
    latest = {row.address: row for row in rows if _taken_up(state, row)}
    done: Effects = []
    for row in rows:
        if not _taken_up(state, row):
            continue
        endpoint = state.endpoints[row.instance]
        was_superseded = endpoint.superseded
        endpoint.superseded = latest[row.address] is not row
        if endpoint.superseded and not (was_superseded or endpoint.leaving):
            done.append(_told('endpoint superseded', row))
            done += _crashes.over(state, row.instance, at_ms)
    return done


def _taken_up(state: _state.State, row: events.Instance) -> bool:
    """Tell whether a row is a direct endpoint that requests could be sent to.

    An entry of another writer may name any service; without this it would
    take the address of the endpoint that really stands there.
    """
    if not row.direct or row.instance not in state.endpoints:
        return False
    view = state.follower.current
    return view is None or view.service(row.service) is not None


def _gone(endpoint: _state.Endpoint) -> effects.Effect:
    if endpoint.instance.direct:
        return _told('endpoint gone from the list', endpoint.instance)
    return effects.CloseLink(endpoint.instance.instance)


def _told(text: str, row: events.Instance) -> effects.Log:
    return effects.Log(
        text,
        (
            ('endpoint', row.instance),
            ('service', row.service),
            ('address', row.address),
            ('leaving', row.leaving),
        ),
    )


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
    """Wait before the link is tried again, the longer the more often.

    While answers are still owed to callers it stays at the first pause: they
    are given up after ``resume_ms``.
    """
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return []
    endpoint.link = _state.LinkPhase.CLOSED
    if not endpoint.placed:
        endpoint.refusals += 1
    pause_ms = _link_pacing.pause_ms(state, event.peer, endpoint.refusals)
    endpoint.retry_link_at_ms = event.at_ms + pause_ms
    return []


def _endpoint_listed(state: _state.State, row: events.Instance) -> Effects:
    endpoint = state.endpoints.get(row.instance)
    if endpoint is None:
        endpoint = _state.Endpoint(instance=row, leaving=row.leaving)
        state.endpoints[row.instance] = endpoint
        _notices.recall(state, endpoint)
        state.placement.add(row.instance, row.service)
        if row.direct:
            return [_told('endpoint listed', row)]
    if endpoint.instance.address != row.address:
        endpoint.refusals = 0
        endpoint.retry_link_at_ms = 0
    news = _news(endpoint, row)
    endpoint.instance = row
    endpoint.listed = True
    endpoint.leaving = endpoint.leaving or row.leaving
    if row.direct:
        return news
    if endpoint.moved and endpoint.link is _state.LinkPhase.OPEN:
        _leave_old_address(endpoint)
    return []


def _news(endpoint: _state.Endpoint, row: events.Instance) -> Effects:
    """Say what a listing changes about a direct endpoint."""
    if not row.direct or not row.leaving or endpoint.leaving:
        return []
    return [_told('endpoint is leaving', row)]


def _leave_old_address(endpoint: _state.Endpoint) -> None:
    """Offer nothing more to the process at the old address.

    Its link stays while answers come on it. Guards against a replacement
    under the same name that cuts off what the old process still finishes.
    """
    endpoint.leaving = True


def _may_open(endpoint: _state.Endpoint, at_ms: int) -> bool:
    if endpoint.instance.direct:
        return False
    closed = endpoint.link is _state.LinkPhase.CLOSED
    return closed and at_ms >= endpoint.retry_link_at_ms


def _open_links(state: _state.State, due: list[str]) -> Effects:
    """Open some of the links that are due, those that owe answers first."""
    if not due:
        return []
    due = _link_pacing.in_own_order(state, due)
    due.sort(key=lambda name: not state.endpoints[name].placed)
    done: Effects = []
    for name in due[: _link_pacing.room(state)]:
        endpoint = state.endpoints[name]
        endpoint.link = _state.LinkPhase.OPENING
        endpoint.link_address = endpoint.instance.address
        done.append(effects.OpenLink(name, endpoint.instance.address))
    return done


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
