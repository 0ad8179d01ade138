"""Tracks the endpoints and gateways listed, and opens links to endpoints.

The instance list lags, so it only says which endpoints to try. Whether an
endpoint that is not direct accepts work is known from its sidecar: an open
link, its reports, and its refusal of an offer.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _crashes
from berylhollow.gateway import _link_pacing
from berylhollow.gateway import _model_loads
from berylhollow.gateway import _notices
from berylhollow.gateway import _origins
from berylhollow.gateway import _quotas
from berylhollow.gateway import _shared_reads
from berylhollow.gateway import _sidecars
from berylhollow.gateway import _state

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Read the instance list when it is due; open and close links."""
    result: Effects = []
    if at_ms - state.instances_read_ms >= _poll_interval_ms(state, at_ms):
        state.instances_read_ms = at_ms
        result.append(effects.ReadInstances())
    due: list[str] = []
    for name, endpoint in state.endpoints.items():
        result += _end_expired_hold(state, endpoint, at_ms)
        if _is_link_due(endpoint, at_ms):
            due.append(name)
        result += _close_if_drained(name, endpoint)
    return result + _open_links(state, due) + _sidecars.tick(state, at_ms)


def _poll_interval_ms(state: _state.State, at_ms: int) -> int:
    """Return the interval between reads, a shorter one while they fail."""
    if _is_list_lost(state, at_ms):
        return min(
            state.options.instance_poll_ms, state.options.instance_retry_ms
        )
    return state.options.instance_poll_ms


def _is_list_lost(state: _state.State, at_ms: int) -> bool:
    return state.list_age_ms(at_ms) >= state.options.instance_lost_ms


def _end_expired_hold(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> Effects:
    """Stop using an endpoint that was not listed again by its deadline.

    Otherwise an endpoint that has left the list would be sent requests until
    the next list is read. Nothing is dropped while the list is unavailable:
    after one outage, a second would leave the endpoints no time to be listed
    again.
    """
    until_ms = endpoint.instance.usable_until_ms
    if until_ms is None or at_ms < until_ms or not endpoint.listed:
        return []
    if _is_list_lost(state, at_ms):
        return []
    endpoint.listed = False
    return [_endpoint_log('endpoint did not come back', endpoint.instance)]


def tick_follower(state: _state.State, at_ms: int) -> Effects:
    """Announce a new configuration; let its follower fetch what it lacks."""
    view = state.follower.current
    known = state.known_revisions
    known_ms = known.behind_ms(state.served_revision, at_ms) or 0
    result = following.log_new_revision(
        state.served_revision, view, ('known_ms', known_ms)
    )
    if result:
        known.reach(view.revision, at_ms)
        lag_s = known_ms / clock.MS_PER_SECOND
        result.append(effects.Count('berylhollow.configuration.lag', lag_s))
        # The configuration says which endpoints have a sidecar. If the list
        # was read before the configuration, links and loads would otherwise
        # wait for the next list, up to 0.7 s after every start.
        _sidecars.update_endpoints(state)
        _quotas.apply_configuration(state, at_ms)
        if state.served_revision:
            _shared_reads.announce_revision(state)
        result += _sidecars.tick(state, at_ms)
    result += _log_outdated(state, at_ms)
    state.served_revision = state.revision
    gateways = [state.options.instance, *state.peers]
    return result + state.follower.tick(
        at_ms, gateways, _linked_peers(state), state.options.instance
    )


def _log_outdated(state: _state.State, at_ms: int) -> Effects:
    """Log when requests begin to be refused for want of a newer revision."""
    known = state.known_revisions
    is_outdated = state.is_outdated(at_ms)
    if is_outdated == known.is_logged:
        return []
    known.is_logged = is_outdated
    if not is_outdated:
        return []
    fields = (
        ('revision', state.revision),
        ('newest', known.newest),
        ('known_ms', state.behind_ms(at_ms)),
        ('limit_ms', state.options.outdated_refuse_ms),
    )
    return [effects.Log('configuration is outdated', fields, warning=True)]


def listed(state: _state.State, event: events.InstancesListed) -> Effects:
    """Apply a new instance list; drop idle endpoints that are not in it.

    An unlisted endpoint is kept while attempts are in flight there: the list
    may be wrong, and callers still wait for its answers.
    """
    was_listed_ms = state.listed_ms
    state.listed_ms = event.at_ms
    rows = {row.instance: row for row in event.instances}
    result: Effects = []
    for name, row in rows.items():
        if name == state.options.instance:
            continue
        if row.role is events.Role.GATEWAY:
            state.peers[name] = row
        else:
            result += _update_endpoint(state, row, event.at_ms)
    for name in [name for name in state.peers if name not in rows]:
        del state.peers[name]
        state.peer_refusals.pop(name, None)
        state.peer_retry_at_ms.pop(name, None)
    started = {
        row.listed_name for row in rows.values() if row.may_restart_under_name
    }
    for name in [name for name in state.endpoints if name not in rows]:
        endpoint = state.endpoints[name]
        has_next_start = endpoint.instance.listed_name in started
        if has_next_start or not endpoint.attempts_in_flight:
            result += _note_end(state, name, event.at_ms)
        if not endpoint.attempts_in_flight:
            state.placement.remove(
                name, endpoint.instance.service, endpoint.report
            )
            del state.endpoints[name]
            _notices.forget(state, endpoint)
            _model_loads.remove_endpoint(
                state, name, endpoint.instance.service
            )
            _sidecars.forget(state, name)
            result.append(_removal_effect(endpoint))
        elif endpoint.instance.direct:
            # Callers wait for its answers, but it gets no new requests.
            endpoint.listed = False
    result += _note_replaced(state, event)
    result += _mark_superseded(state, event.instances, event.at_ms)
    _sidecars.update_endpoints(state)
    _origins.list_read(state, event.at_ms, was_listed_ms)
    result += state.follower.handle(event)
    return result + tick(state, event.at_ms)


def _note_end(state: _state.State, name: str, at_ms: int) -> Effects:
    """Settle the losses at an endpoint that has ended, by a crash or not."""
    endpoint = state.endpoints[name]
    if not endpoint.leaving:
        return _crashes.report_crash(state, name, at_ms)
    if endpoint.instance.leaving:
        state.unsettled.settle_endpoint(name)
    return []


def _note_replaced(
    state: _state.State, event: events.InstancesListed
) -> Effects:
    """Note endpoints whose name another start has taken.

    The software version of their answers is then certain only if both starts
    have the same one.
    """
    unlisted = [
        endpoint
        for endpoint in state.endpoints.values()
        if not (endpoint.listed or endpoint.is_replaced)
    ]
    if not unlisted:
        return []
    by_name = {row.listed_name: row for row in event.instances if row.direct}
    result: Effects = []
    for endpoint in unlisted:
        instance = endpoint.instance
        row = by_name.get(instance.listed_name, instance)
        if row.software_version != instance.software_version:
            result.append(_endpoint_log('endpoint replaced', row))
            result += _origins.start_replaced(state, endpoint, event.at_ms)
    return result


def _mark_superseded(
    state: _state.State, rows: tuple[events.Instance, ...], at_ms: int
) -> Effects:
    """Stop using an incarnation whose address a newer one has taken.

    The list shows both for some seconds, with the last to write at the end.
    Requests to the old incarnation would be refused by the new one again and
    again. Each list decides anew: the incarnation that is alive writes again
    and is then the last, so a wrong entry can't take its address for good.
    """
    latest = {
        row.address: row for row in rows if _is_direct_target(state, row)
    }
    result: Effects = []
    for row in rows:
        if not _is_direct_target(state, row):
            continue
        endpoint = state.endpoints[row.instance]
        was_superseded = endpoint.superseded
        endpoint.superseded = latest[row.address] is not row
        if endpoint.superseded and not (was_superseded or endpoint.leaving):
            result.append(_endpoint_log('endpoint superseded', row))
            result += _crashes.report_crash(state, row.instance, at_ms)
    return result


def _is_direct_target(state: _state.State, row: events.Instance) -> bool:
    """Tell whether a row is a direct endpoint that requests could be sent to.

    An entry of another writer may name any service; without this check it
    would supersede the endpoint that really has the address.
    """
    if not row.direct or row.instance not in state.endpoints:
        return False
    view = state.follower.current
    return view is None or view.service(row.service) is not None


def _removal_effect(endpoint: _state.Endpoint) -> effects.Effect:
    """Return the effect of an endpoint's removal: a log line or a close."""
    if endpoint.instance.direct:
        return _endpoint_log('endpoint gone from the list', endpoint.instance)
    return effects.CloseLink(endpoint.instance.instance)


def _endpoint_log(text: str, row: events.Instance) -> effects.Log:
    """Return a log line about a listed endpoint."""
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
    """Store a sidecar's report of its endpoint, for routing."""
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return []
    state.placement.replace(event.peer, endpoint.report, event.message)
    endpoint.report = event.message
    endpoint.report_at_ms = event.at_ms
    endpoint.in_flight_at_report = len(endpoint.attempts_in_flight)
    endpoint.leaving = event.message.leaving
    return []


def link_refused(state: _state.State, event: events.LinkRefused) -> Effects:
    """Schedule a retry of the link, with a growing back-off.

    While callers wait for answers from the endpoint the first pause is kept:
    the answers are given up after ``resume_ms``.
    """
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return []
    endpoint.link = _state.LinkPhase.CLOSED
    if not endpoint.attempts_in_flight:
        endpoint.refusals += 1
    pause_ms = _link_pacing.pause_ms(state, event.peer, endpoint.refusals)
    endpoint.retry_link_at_ms = event.at_ms + pause_ms
    return []


def _update_endpoint(
    state: _state.State, row: events.Instance, at_ms: int
) -> Effects:
    """Add an endpoint, or update one that is known, from its list entry."""
    endpoint = state.endpoints.get(row.instance)
    if endpoint is None:
        endpoint = _state.Endpoint(instance=row, leaving=row.leaving)
        state.endpoints[row.instance] = endpoint
        _notices.recall(state, endpoint)
        state.placement.add(row.instance, row.service)
        if row.direct:
            doubtful = _notices.apply_doubtful(state, endpoint, at_ms)
            return [_endpoint_log('endpoint listed', row), *doubtful]
    if endpoint.instance.address != row.address:
        endpoint.refusals = 0
        endpoint.retry_link_at_ms = 0
    logs = _leaving_logs(endpoint, row)
    if endpoint.instance.service != row.service:
        logs += _change_service(state, endpoint, row)
    endpoint.instance = row
    endpoint.listed = True
    endpoint.is_replaced = False
    endpoint.leaving = endpoint.leaving or row.leaving
    if row.direct:
        return logs
    if endpoint.has_moved and endpoint.link is _state.LinkPhase.OPEN:
        _drain_old_address(endpoint)
    return []


def _change_service(
    state: _state.State, endpoint: _state.Endpoint, row: events.Instance
) -> Effects:
    """Move an endpoint to the indexes of the service that its entry names.

    The entry may be of another writer, so that the service may change back.
    """
    name = row.instance
    service = endpoint.instance.service
    state.placement.remove(name, service, endpoint.report)
    _model_loads.remove_endpoint(state, name, service)
    endpoint.report = None
    state.placement.add(name, row.service)
    fields = (
        ('endpoint', name),
        ('service', row.service),
        ('service_before', service),
    )
    return [effects.Log('entry names another service', fields, warning=True)]


def _leaving_logs(endpoint: _state.Endpoint, row: events.Instance) -> Effects:
    """Log that a direct endpoint is newly listed as leaving."""
    if not row.direct or not row.leaving or endpoint.leaving:
        return []
    return [_endpoint_log('endpoint is leaving', row)]


def _drain_old_address(endpoint: _state.Endpoint) -> None:
    """Offer nothing more to the process at the old address.

    Its link stays open while answers arrive on it. Otherwise a replacement
    under the same name would cut off requests that the old process can still
    finish.
    """
    endpoint.leaving = True


def _is_link_due(endpoint: _state.Endpoint, at_ms: int) -> bool:
    """Tell whether a link is closed and due to be opened."""
    if endpoint.instance.direct:
        return False
    closed = endpoint.link is _state.LinkPhase.CLOSED
    return closed and at_ms >= endpoint.retry_link_at_ms


def _open_links(state: _state.State, due: list[str]) -> Effects:
    """Open links within the limit, those with attempts in flight first."""
    if not due:
        return []
    due = _link_pacing.rotate(state, due)
    due.sort(key=lambda name: not state.endpoints[name].attempts_in_flight)
    result: Effects = []
    for name in due[: _link_pacing.opening_capacity(state)]:
        endpoint = state.endpoints[name]
        endpoint.link = _state.LinkPhase.OPENING
        endpoint.link_address = endpoint.instance.address
        result.append(effects.OpenLink(name, endpoint.instance.address))
    return result


def _close_if_drained(
    name: str, endpoint: _state.Endpoint
) -> list[effects.Effect]:
    """Close the link to a leaving endpoint with no attempt in flight.

    Its sidecar waits for this before it exits: once the link is closed, no
    offer from this gateway can be in flight.
    """
    if not endpoint.leaving or endpoint.attempts_in_flight:
        return []
    if endpoint.link is not _state.LinkPhase.OPEN:
        return []
    return [effects.CloseLink(name)]


def _linked_peers(state: _state.State) -> list[str]:
    """Return the gateways and endpoints to which a link is open."""
    endpoints = [
        name
        for name, endpoint in state.endpoints.items()
        if endpoint.link is _state.LinkPhase.OPEN
    ]
    return [*state.peer_links, *endpoints]
