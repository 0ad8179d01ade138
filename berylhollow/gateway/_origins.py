"""Keeps which software version began each stream, here and at sidecars.

A caller may take a stream up again at any gateway, also after the first one
was killed. Each gateway therefore tells two sidecars, which all gateways find
by a hash of the stream, what began it. Sidecars outlive gateways, and a
gateway asks them only about a stream that is taken up again.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _notices
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import resumption
from berylhollow.util import addresses
from berylhollow.util import hash_ring

Effects = list[effects.Effect]

KEEPERS = 2
"""Sidecars that keep the origin of a stream."""

CHECKED_PER_TICK = 1000
"""Streams whose keepers are looked up again with each tick: about 8 ms."""

HISTORY_KEEPERS = 4
"""Sidecars that are told the software versions of a service."""

RETURN_MS = 30_000
"""How long after the deadline of its last attempt a stream may be resumed."""

HISTORY_MS = 2000
"""Interval at which sidecars are told the versions that are listed."""


def proven_version(state: _state.State, name: str) -> str:
    """Return the software version of an endpoint, '' if it isn't certain.

    Its sidecar may have reported a start that the list doesn't have yet, and
    another entry or a later start may have taken its address.
    """
    endpoint = state.endpoints.get(name)
    if endpoint is None or endpoint.superseded or endpoint.is_replaced:
        return ''
    instance = endpoint.instance
    if may_have_next_start(state, name):
        return ''
    report = endpoint.report
    if report is not None and report.epoch not in ('', instance.instance):
        return ''
    return instance.software_version


def note_cut_off(
    state: _state.State, name: str, sent_ms: int, at_ms: int
) -> None:
    """Note that an endpoint has cut off a run, which was sent at a time."""
    endpoint = state.endpoints[name]
    if state.listed_ms >= endpoint.cut_off_ms + _notices.LISTING_LAG_MS:
        endpoint.doubted_since_ms = sent_ms
    endpoint.doubted_since_ms = min(endpoint.doubted_since_ms, sent_ms)
    endpoint.cut_off_ms = at_ms


def is_doubtful(state: _state.State, name: str) -> bool:
    """Tell whether an endpoint may have started again since it was listed.

    One that has cut off a run may have crashed. Its next start has the same
    name, perhaps another version, and is in the list only after a lag. Where
    there is a sidecar, the new start holds nothing until that reports it.
    """
    endpoint = state.endpoints[name]
    lost_ms = max(endpoint.cut_off_ms, state.unsettled.last_lost_ms(name))
    if state.listed_ms >= lost_ms + _notices.LISTING_LAG_MS:
        return False
    peer = addresses.sidecar_peer(endpoint.instance.address)
    sidecar = state.sidecars.get(peer)
    return sidecar is None or sidecar.report is None


def may_have_next_start(state: _state.State, name: str) -> bool:
    """Tell whether a next start may answer under an endpoint's name."""
    instance = state.endpoints[name].instance
    return instance.may_restart_under_name and is_doubtful(state, name)


def answer_begins(
    state: _state.State,
    active: _state.ActiveRequest,
    status: int,
    at_ms: int,
) -> Effects:
    """Keep the origin of a stream whose answer begins, and tell sidecars.

    A request that takes a stream up again is kept under both ids.
    """
    if active.stream is None or status not in messages.SUCCESS_STATUSES:
        return []
    return _keep_origin(state, active, at_ms)


def _keep_origin(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Keep what began a stream as far as it is certain, and tell sidecars."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is None or not endpoint.instance.direct:
        return []
    version = proven_version(state, active.endpoint)
    until_ms = active.deadline_ms + RETURN_MS
    origin = resumption.Origin(endpoint.instance.service, version, until_ms)
    streams = [active.stream]
    if active.resumption is not None and active.resumption.stream:
        streams.append(active.resumption.stream)
    by_peer: dict[str, list[messages.StreamOrigin]] = {}
    for stream in dict.fromkeys(streams):
        state.origins.record(stream, origin, at_ms)
        _add_message(state, stream, at_ms, by_peer)
    return _sends(by_peer)


def start_replaced(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> Effects:
    """Forget what began the streams under way at a start that has ended.

    Their answers may be of the start that is listed in its place, which may
    have answered before it was listed.
    """
    endpoint.is_replaced = True
    emitted: Effects = []
    for attempt_id in sorted(endpoint.attempts_in_flight):
        active = state.request_of(attempt_id)
        if active is None or active.phase is not _state.Phase.RELAYING:
            continue
        if active.stream in state.origins.entries:
            emitted += _keep_origin(state, active, at_ms)
    return emitted


def keepers(state: _state.State) -> hash_ring.HashRing:
    """Return the linked sidecars that keep origins."""
    if state.keepers is None:
        state.keepers = hash_ring.HashRing(
            peer
            for peer, sidecar in state.sidecars.items()
            if sidecar.link is _state.LinkPhase.OPEN
            and sidecar.report is not None
            and sidecar.report.keeps_origins
        )
    return state.keepers


def keepers_changed(state: _state.State) -> None:
    """Look up the sidecars that keep origins again, and tell new ones."""
    state.keepers = None
    state.streams_to_check = list(state.streams_told)
    state.histories_told_ms = clock.NEVER_MS


def tick(state: _state.State, at_ms: int) -> Effects:
    """Drop expired origins; tell sidecars that have become keepers."""
    if state.origins.drop_expired(at_ms):
        state.streams_told = {
            stream: told
            for stream, told in state.streams_told.items()
            if stream in state.origins.entries
        }
    emitted = _tell_new_keepers(state, at_ms)
    if at_ms - state.histories_told_ms >= HISTORY_MS:
        state.histories_told_ms = at_ms
        emitted += _tell_histories(state, at_ms)
    return emitted


def list_read(state: _state.State, at_ms: int, was_read_ms: int) -> None:
    """Note which software versions are listed for each service.

    The list was read before at ``was_read_ms``.
    """
    if was_read_ms == clock.NEVER_MS:
        since_ms = at_ms
        if state.options.is_first_start:
            since_ms = resumption.FIRST_START_MS
        state.list_watched_since_ms = since_ms
    elif at_ms - was_read_ms > resumption.MAX_GAP_MS:
        state.list_watched_since_ms = at_ms
    versions = {service: set() for service in state.histories}
    for endpoint in state.endpoints.values():
        instance = endpoint.instance
        if instance.direct:
            listed = versions.setdefault(instance.service, set())
            listed.add(instance.software_version)
    for service, listed in versions.items():
        history = state.histories.get(service)
        if history is None:
            since_ms = state.list_watched_since_ms
            history = resumption.VersionHistory(since_ms, at_ms)
            state.histories[service] = history
        if history.observe(listed, at_ms):
            state.histories_told_ms = clock.NEVER_MS


def history_received(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Take over which versions were listed before this gateway started."""
    told: messages.SoftwareHistory = event.message
    history = state.histories.get(told.service)
    if history is not None:
        history.merge(told, event.at_ms)
    return []


def _add_message(
    state: _state.State,
    stream: bytes,
    at_ms: int,
    by_peer: dict[str, list[messages.StreamOrigin]],
) -> None:
    """Add what the keepers of a stream are to be told of it."""
    message = state.origins.entries[stream].describe(stream, at_ms)
    state.streams_told[stream] = _stream_keepers(state, stream)
    for peer, _ in state.streams_told[stream]:
        by_peer.setdefault(peer, []).append(message)


def _stream_keepers(
    state: _state.State, stream: bytes
) -> frozenset[tuple[str, str]]:
    """Return the sidecars that should keep a stream, with incarnations."""
    return frozenset(
        (peer, state.sidecars[peer].incarnation)
        for peer in keepers(state).first(stream, KEEPERS)
    )


def _tell_new_keepers(state: _state.State, at_ms: int) -> Effects:
    """Tell sidecars of streams whose keepers they have become, newest first.

    Only streams that began at this gateway are told again; the others have
    been told by theirs.
    """
    checked = state.streams_to_check[-CHECKED_PER_TICK:]
    del state.streams_to_check[-CHECKED_PER_TICK:]
    by_peer: dict[str, list[messages.StreamOrigin]] = {}
    for stream in reversed(checked):
        told = state.streams_told.get(stream)
        if told is None or stream not in state.origins.entries:
            continue
        if not _stream_keepers(state, stream) <= told:
            _add_message(state, stream, at_ms, by_peer)
    return _sends(by_peer)


def _sends(by_peer: dict[str, list[messages.StreamOrigin]]) -> Effects:
    return [
        effects.Send(peer, messages.StreamsBegan(tuple(origins)))
        for peer, origins in by_peer.items()
    ]


def _tell_histories(state: _state.State, at_ms: int) -> Effects:
    emitted: Effects = []
    for service, history in state.histories.items():
        told = history.describe(service, at_ms)
        key = service.encode()
        emitted += [
            effects.Send(peer, told)
            for peer in keepers(state).first(key, HISTORY_KEEPERS)
        ]
    return emitted
