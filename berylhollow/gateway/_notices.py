"""Handles notices: what endpoints say of themselves in their answers."""

import dataclasses

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.util import bounded

Effects = list[effects.Effect]

MAX_ABSENT_NOTICES = 256
"""Number of notices kept of endpoints that left the instance list."""

LISTING_LAG_MS = 2000
"""How long after its first answer a new start is in the list at the latest. A
start that leaves serves as long before the next one takes its name."""


def received(state: _state.State, event: events.NoticeReceived) -> Effects:
    """Keep the newest notice of an endpoint, and any that it is leaving.

    Answers may arrive out of order: an older one must not restore a limit
    that the endpoint has ended. A malformed notice leaves the limit as it is.
    Leaving is final, whichever answer announced it.
    """
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return []
    before = endpoint.notice
    endpoint.notice = _merge(before, endpoint.notice_sent_ms, event)
    endpoint.notice_sent_ms = max(endpoint.notice_sent_ms, event.sent_ms)
    if endpoint.reported_start and event.sent_ms >= endpoint.reported_ms:
        _keep_for_unlisted(state, endpoint.reported_start, event)
    emitted = _note_malformed(endpoint, before, event)
    emitted += _apply_pause(state, endpoint, event)
    emitted += _apply_leaving(state, endpoint, before, event)
    return emitted + _apply_rate_limit(state, endpoint, before, event)


def _merge(
    before: events.EndpointNotice,
    before_sent_ms: int,
    event: events.NoticeReceived,
) -> events.EndpointNotice:
    """Return the notice that holds after another one was received."""
    notice = event.notice
    if event.sent_ms < before_sent_ms:
        notice = before
    elif notice.malformed:
        notice = dataclasses.replace(notice, rate_per_s=before.rate_per_s)
    leaving = before.leaving or event.notice.leaving
    return dataclasses.replace(notice, leaving=leaving)


def _keep_for_unlisted(
    state: _state.State, started: str, event: events.NoticeReceived
) -> None:
    """Keep a notice for the start that a sidecar reports, until it is listed.

    The request was sent after that report, so that the answer is of no
    earlier start.
    """
    stored = state.absent_notices.pop(started, _state.StoredNotice())
    until_ms = stored.paused_until_ms
    if event.notice.pause_ms:
        until_ms = max(until_ms, event.at_ms + event.notice.pause_ms)
    state.absent_notices[started] = _state.StoredNotice(
        _merge(stored.notice, stored.sent_ms, event),
        max(stored.sent_ms, event.sent_ms),
        until_ms,
    )
    bounded.drop_oldest(state.absent_notices, MAX_ABSENT_NOTICES)


def _note_malformed(
    endpoint: _state.Endpoint,
    before: events.EndpointNotice,
    event: events.NoticeReceived,
) -> Effects:
    notice = endpoint.notice
    if not notice.malformed or notice.malformed == before.malformed:
        return []
    return [
        _log('notice not understood', endpoint, event, warning=True),
        _count(endpoint, 'malformed'),
    ]


def _apply_leaving(
    state: _state.State,
    endpoint: _state.Endpoint,
    before: events.EndpointNotice,
    event: events.NoticeReceived,
) -> Effects:
    """Stop using an endpoint that says it leaves."""
    if not endpoint.notice.leaving or before.leaving:
        return []
    endpoint.leaving = True
    doubtful = _doubtful_notice(state, endpoint, event)
    if doubtful is not None:
        doubtful.at_ms = event.at_ms
        doubtful.leaving = True
    return [
        _log('endpoint says that it leaves', endpoint, event),
        _count(endpoint, 'leaving'),
    ]


def _doubtful_notice(
    state: _state.State,
    endpoint: _state.Endpoint,
    event: events.NoticeReceived,
) -> _state.DoubtfulNotice | None:
    """Return where to keep what is said by an endpoint that may have ended.

    After it has cut off a run, another start may have answered under its name
    that is not listed yet. Returns None if it has not.
    """
    if all(run.lost_ms > event.sent_ms for run in endpoint.lost.values()):
        return None
    name = endpoint.instance.listed_name
    doubtful = state.doubtful_notices.pop(name, None)
    if doubtful is None or doubtful.instance != event.peer:
        doubtful = _state.DoubtfulNotice(event.peer)
    state.doubtful_notices[name] = doubtful
    bounded.drop_oldest(state.doubtful_notices, MAX_ABSENT_NOTICES)
    return doubtful


def _apply_pause(
    state: _state.State,
    endpoint: _state.Endpoint,
    event: events.NoticeReceived,
) -> Effects:
    """Start a pause when its notice arrives; never shorten one."""
    until_ms = event.at_ms + event.notice.pause_ms
    if not event.notice.pause_ms or until_ms <= endpoint.paused_until_ms:
        return []
    endpoint.paused_until_ms = until_ms
    doubtful = _doubtful_notice(state, endpoint, event)
    if doubtful is not None:
        doubtful.at_ms = event.at_ms
        doubtful.paused_until_ms = until_ms
    return [
        _log('endpoint asks for a pause', endpoint, event),
        _count(endpoint, 'pause'),
    ]


def _apply_rate_limit(
    state: _state.State,
    endpoint: _state.Endpoint,
    before: events.EndpointNotice,
    event: events.NoticeReceived,
) -> Effects:
    rate_per_s = endpoint.notice.rate_per_s
    is_limited = rate_per_s is not None or before.rate_per_s is not None
    if is_limited and event.sent_ms == endpoint.notice_sent_ms:
        doubtful = _doubtful_notice(state, endpoint, event)
        if doubtful is not None:
            doubtful.rate_stated_ms = event.at_ms
            doubtful.rate_per_s = rate_per_s
    if rate_per_s == before.rate_per_s:
        return []
    if rate_per_s is None:
        state.rate_limited.pop(event.peer, None)
        return [
            _log('endpoint ends its rate limit', endpoint, event),
            _count(endpoint, 'no_rate_limit'),
        ]
    state.rate_limited[event.peer] = None
    return [
        _log('endpoint names a rate limit', endpoint, event),
        _count(endpoint, 'rate_limit'),
    ]


def forget(state: _state.State, endpoint: _state.Endpoint) -> None:
    """Keep the notice of an endpoint that left the list: it may come back.

    In an outage of the store the entry of a live endpoint may expire.
    """
    if endpoint.notice_sent_ms == clock.NEVER_MS:
        return
    name = endpoint.instance.instance
    state.absent_notices[name] = _state.StoredNotice(
        endpoint.notice, endpoint.notice_sent_ms, endpoint.paused_until_ms
    )
    bounded.drop_oldest(state.absent_notices, MAX_ABSENT_NOTICES)


def recall(state: _state.State, endpoint: _state.Endpoint) -> None:
    """Restore the notice that an endpoint gave before it left the list."""
    name = endpoint.instance.instance
    stored = state.absent_notices.pop(name, None)
    if stored is None:
        return
    endpoint.notice = stored.notice
    endpoint.notice_sent_ms = stored.sent_ms
    endpoint.paused_until_ms = stored.paused_until_ms
    endpoint.leaving = endpoint.leaving or stored.notice.leaving
    if stored.notice.rate_per_s is not None:
        state.rate_limited[name] = None


def apply_doubtful(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> Effects:
    """Apply a notice to a new start that may have been the one to give it."""
    started = endpoint.instance.instance
    for name, doubtful in list(state.doubtful_notices.items()):
        is_recent = at_ms <= doubtful.at_ms + LISTING_LAG_MS
        has_rate = at_ms <= doubtful.rate_stated_ms + LISTING_LAG_MS
        if not is_recent and not has_rate:
            del state.doubtful_notices[name]
            continue
        if started == doubtful.instance:
            continue
        if not messages.Incarnation.is_incarnation_of(started, name):
            continue
        del state.doubtful_notices[name]
        if is_recent:
            endpoint.leaving = endpoint.leaving or doubtful.leaving
            endpoint.paused_until_ms = max(
                endpoint.paused_until_ms, doubtful.paused_until_ms
            )
        if has_rate and doubtful.rate_per_s is not None:
            _limit_rate(state, endpoint, doubtful.rate_per_s)
        heard_ms = max(doubtful.at_ms, doubtful.rate_stated_ms)
        fields = (
            ('endpoint', started),
            ('taken_for', doubtful.instance),
            ('leaving', is_recent and doubtful.leaving),
            ('rate_per_s', endpoint.notice.rate_per_s),
            ('notice_age_ms', at_ms - heard_ms),
        )
        return [effects.Log('notice is of a new start', fields)]
    return []


def _limit_rate(
    state: _state.State, endpoint: _state.Endpoint, rate_per_s: float
) -> None:
    """Apply a rate limit until an answer of the endpoint says otherwise."""
    endpoint.notice = dataclasses.replace(
        endpoint.notice, rate_per_s=rate_per_s
    )
    state.rate_limited[endpoint.instance.instance] = None


def _log(
    text: str,
    endpoint: _state.Endpoint,
    event: events.NoticeReceived,
    warning: bool = False,
) -> effects.Log:
    fields = (
        ('endpoint', event.peer),
        ('service', endpoint.instance.service),
        ('leaving', event.notice.leaving),
        ('rate_per_s', event.notice.rate_per_s),
        ('pause_ms', event.notice.pause_ms),
        ('malformed', ' '.join(event.notice.malformed)),
        ('answer_age_ms', event.at_ms - event.sent_ms),
    )
    return effects.Log(text, fields, warning)


def _count(endpoint: _state.Endpoint, notice: str) -> effects.Count:
    attributes = (
        ('berylhollow.service', endpoint.instance.service),
        ('berylhollow.notice', notice),
    )
    return effects.Count('berylhollow.endpoint_notices', 1, attributes)
