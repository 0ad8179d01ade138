"""Where a stream that a caller takes up again may go on.

Guards against streams with events of two software versions. What two versions
write doesn't fit together, and no endpoint checks it. A request that takes a
stream up again waits until it is known which version began the stream, goes
to endpoints of that version only, and is refused if that can't be told: the
version is never guessed.
"""

import dataclasses

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _counts
from berylhollow.gateway import _origins
from berylhollow.gateway import _refusal
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import resumption

FIRST_ASKED = 4
"""Sidecars that are asked first: those that keep the stream, and as many more
for gateways that are linked to different ones."""

MAX_ASKED = 64
"""Sidecars that are asked about one stream at most."""

ANSWER_MS = 150
"""How long sidecars may take to answer."""

LINK_MS = 500
"""How long a request waits for the first link of a gateway that has just
started."""

RETRY_MS = 250
"""When the caller may try another gateway that may know the origin."""

GONE_RETRY_MS = 1000
"""When the caller may ask again whether the version is back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may be placed now; else it waits or is refused."""

    may_place: bool
    emitted: tuple[effects.Effect, ...] = ()
    refusal: _refusal.Refusal | None = None


MAY_PLACE = Decision(True)


def begin(
    active: _state.ActiveRequest, is_stream: bool, resumable: bool, at_ms: int
) -> None:
    """Set the keys of a request's own stream and of the one it takes up."""
    request = active.request
    workspace = '' if active.workspace is None else active.workspace.name
    if resumable and request.caller_request_id:
        active.stream = resumption.stream_key(
            workspace, request.caller_request_id
        )
    if not is_stream or request.resumption is None:
        return
    stream_id = request.resumption.stream_id
    stream = resumption.stream_key(workspace, stream_id) if stream_id else None
    active.resumption = _state.Resumption(stream, at_ms)


def settle(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Decision:
    """Find out which software version may run a request.

    Its own table comes first, then the sidecars, then whether only one version
    can have begun the stream. Sidecars go before that, as the list may lack a
    version with which another gateway has just begun it.
    """
    resumed = active.resumption
    if resumed is None:
        return MAY_PLACE
    if resumed.software_version:
        return _check_served(state, active)
    origin = None
    if resumed.stream is not None:
        origin = state.origins.get(resumed.stream, at_ms)
    if origin is not None:
        source = 'sidecar' if resumed.answered else 'gateway'
        return _apply(state, active, origin, source, at_ms)
    if resumed.stream is None:
        return _use_only_version(state, active, 'not named', at_ms)
    return _ask(state, active, at_ms)


def answered(
    state: _state.State, event: events.MessageReceived
) -> list[_state.ActiveRequest]:
    """Note a sidecar's answer; return the requests to be placed anew."""
    message: messages.OriginAnswered = event.message
    if message.origin is not None:
        state.origins.take_over(message.origin, event.at_ms)
    requests = _requests_waiting(state, message.stream)
    for active in requests:
        if event.peer in active.resumption.answered:
            active.resumption.answered[event.peer] = True
    return requests


def may_run_at(
    state: _state.State, active: _state.ActiveRequest, name: str
) -> bool:
    """Tell whether an endpoint has the version that a request is bound to."""
    version = active.software_version
    return not version or _origins.proven_version(state, name) == version


def are_all_ejected(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether all endpoints are ejected that a resumed stream may use.

    Half of a service may be ejected, which can be all of one version. The
    stream can go on nowhere else, so they are tried all the same.
    """
    if not active.software_version:
        return False
    return all(
        at_ms < state.endpoints[name].ejected_until_ms
        for name in _endpoints_of_version(state, active)
    )


def _endpoints_of_version(
    state: _state.State, active: _state.ActiveRequest
) -> list[str]:
    """Return the endpoints in use with the version of a resumed stream."""
    return [
        name
        for name in state.placement.digests.get(active.service, {})
        if state.endpoints[name].is_usable and may_run_at(state, active, name)
    ]


def _unproven_endpoints(
    state: _state.State, active: _state.ActiveRequest
) -> list[str]:
    """Return those in use that are listed with a resumed stream's version.

    A next start may answer there that is not listed yet.
    """
    return [
        name
        for name in state.placement.digests.get(active.service, {})
        if state.endpoints[name].is_usable
        and state.endpoints[name].instance.software_version
        == active.software_version
        and _origins.may_have_next_start(state, name)
    ]


def _requests_waiting(
    state: _state.State, stream: bytes
) -> list[_state.ActiveRequest]:
    """Return the requests that wait for the origin of a stream."""
    return [
        active
        for active in state.requests.values()
        if active.resumption is not None
        and active.resumption.stream == stream
        and not active.resumption.software_version
    ]


def _apply(
    state: _state.State,
    active: _state.ActiveRequest,
    origin: resumption.Origin,
    source: str,
    at_ms: int,
) -> Decision:
    """Bind a request to the version that began its stream."""
    resumed = active.resumption
    if not origin.is_known:
        return _refuse_unknown(state, active, 'ambiguous', at_ms)
    resumed.software_version = origin.software_version
    if origin.service in active.route_services:
        active.service = origin.service
    fields = (
        *_ids(active),
        ('waited_ms', at_ms - resumed.begun_ms),
        ('software_version', origin.software_version),
        ('source', source),
        ('kept_ms', max(0, origin.until_ms - at_ms)),
    )
    decision = _check_served(state, active)
    if decision.refusal is not None:
        return decision
    emitted = (
        effects.Log('stream is resumed', fields),
        _count(active, source),
    )
    return Decision(True, emitted)


def _check_served(
    state: _state.State, active: _state.ActiveRequest
) -> Decision:
    """Refuse a request at once if no endpoint of its version takes any."""
    if _endpoints_of_version(state, active):
        return MAY_PLACE
    unproven = _unproven_endpoints(state, active)
    if unproven:
        return _refuse(
            active,
            errors.Kind.STREAM_ORIGIN_UNKNOWN,
            'version unproven',
            GONE_RETRY_MS,
            ('software_version', active.software_version),
            ('unproven', ' '.join(unproven)),
        )
    versions = sorted(
        {
            state.endpoints[name].instance.software_version
            for name in state.placement.digests.get(active.service, {})
        }
    )
    kind = errors.Kind.SOFTWARE_VERSION_GONE
    return _refuse(
        active,
        kind,
        'version gone',
        GONE_RETRY_MS,
        ('software_version', active.software_version),
        ('listed_versions', ' '.join(versions)),
    )


def _use_only_version(
    state: _state.State,
    active: _state.ActiveRequest,
    reason: str,
    at_ms: int,
) -> Decision:
    """Bind a request to the only version there was, or refuse it."""
    version = _only_version(state, active, at_ms)
    if not version:
        return _refuse_unknown(state, active, reason, at_ms)
    origin = resumption.Origin(active.service, version, at_ms)
    return _apply(state, active, origin, 'only version', at_ms)


def _only_version(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> str:
    """Return the only version that can have begun the stream, '' if unsure.

    All services of the route may have begun it.
    """
    horizon_ms = active.route_timeout_ms + _origins.RETURN_MS
    versions = set()
    for service in active.route_services or (active.service,):
        history = state.histories.get(service)
        if history is None:
            return ''
        versions.add(history.only_version(at_ms, horizon_ms))
    return versions.pop() if len(versions) == 1 else ''


def _ask(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Decision:
    """Ask the sidecars of the stream, then others, or wait for answers."""
    resumed = active.resumption
    ring = _origins.keepers(state)
    if not ring.members and _may_await_link(state, active, at_ms):
        active.retry_at_ms = at_ms + state.options.retry_pause_ms
        return Decision(False)
    if resumed.answered and not _is_round_over(state, active, at_ms):
        active.retry_at_ms = resumed.asked_ms + ANSWER_MS
        return Decision(False)
    count = MAX_ASKED if resumed.answered else FIRST_ASKED
    peers = [
        peer
        for peer in ring.first(resumed.stream, count)
        if peer not in resumed.answered
    ]
    if not peers:
        reason = 'not kept' if resumed.answered else 'no link'
        return _use_only_version(state, active, reason, at_ms)
    resumed.asked_ms = at_ms
    active.retry_at_ms = at_ms + ANSWER_MS
    resumed.answered |= dict.fromkeys(peers, False)
    wanted = messages.OriginWanted(resumed.stream)
    return Decision(False, tuple(effects.Send(peer, wanted) for peer in peers))


def _may_await_link(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether this gateway may have a link in a moment."""
    is_new = at_ms < state.settled_ms
    return is_new and at_ms < active.resumption.begun_ms + LINK_MS


def _is_round_over(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> bool:
    """Tell whether all sidecars that were asked have answered or are late."""
    resumed = active.resumption
    if at_ms >= resumed.asked_ms + ANSWER_MS:
        return True
    linked = _origins.keepers(state).members
    return all(
        has_answered or peer not in linked
        for peer, has_answered in resumed.answered.items()
    )


def _refuse_unknown(
    state: _state.State,
    active: _state.ActiveRequest,
    reason: str,
    at_ms: int,
) -> Decision:
    resumed = active.resumption
    kind = errors.Kind.STREAM_ORIGIN_UNKNOWN
    history = state.histories.get(active.service)
    watched_ms = None
    if history is not None:
        watched_ms = history.until_ms - history.since_ms
    return _refuse(
        active,
        kind,
        reason,
        RETRY_MS,
        ('waited_ms', at_ms - resumed.begun_ms),
        ('asked', len(resumed.answered)),
        ('answers', sum(resumed.answered.values())),
        ('keepers', len(_origins.keepers(state).members)),
        ('watched_ms', watched_ms),
    )


def _refuse(
    active: _state.ActiveRequest,
    kind: errors.Kind,
    reason: str,
    retry_ms: int,
    *fields: tuple[str, object],
) -> Decision:
    """Refuse a request; its caller may return after one or two waits."""
    retry_after_ms = int(retry_ms * (1 + active.seed))
    logged = (
        *_ids(active),
        ('reason', reason),
        *fields,
        ('retry_after_ms', retry_after_ms),
    )
    emitted = (
        effects.Log('stream is not resumed', logged),
        _count(active, reason),
    )
    return Decision(False, emitted, _refusal.Refusal(kind, retry_after_ms))


def _ids(active: _state.ActiveRequest) -> tuple[tuple[str, object], ...]:
    request = active.request
    return (
        ('request_id', request.request_id),
        ('shown_id', request.caller_request_id),
        ('resumes', request.resumption.stream_id),
        ('service', active.service),
    )


def _count(active: _state.ActiveRequest, outcome: str) -> effects.Count:
    attributes = _counts.outcome_attributes(active, outcome)
    return effects.Count('berylhollow.resumptions', 1, attributes)
