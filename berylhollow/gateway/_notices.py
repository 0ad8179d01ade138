"""What endpoints say of themselves in their answers to our requests."""

import dataclasses

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state

Effects = list[effects.Effect]

MOST_ABSENT = 256
"""Endpoints off the list whose word is kept."""


def received(state: _state.State, event: events.NoticeReceived) -> Effects:
    """Keep the newest word of an endpoint, and any that it leaves.

    Answers overtake each other: guards against an older one that brings back
    what the endpoint has ended. One that was not understood changes nothing.
    An endpoint that leaves does so for good, whichever answer said it.
    """
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None:
        return []
    before = endpoint.notice
    leaving = before.leaving or event.notice.leaving
    notice = event.notice
    if event.sent_ms < endpoint.notice_sent_ms:
        notice = before
    elif notice.malformed:
        notice = dataclasses.replace(notice, rate_per_s=before.rate_per_s)
    endpoint.notice_sent_ms = max(endpoint.notice_sent_ms, event.sent_ms)
    endpoint.notice = dataclasses.replace(notice, leaving=leaving)
    done = _malformed(endpoint, before, event) + _pause(endpoint, event)
    done += _leaving(endpoint, before, event)
    return done + _rate_limit(state, endpoint, before, event)


def _malformed(
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


def _leaving(
    endpoint: _state.Endpoint,
    before: events.EndpointNotice,
    event: events.NoticeReceived,
) -> Effects:
    if not endpoint.notice.leaving or before.leaving:
        return []
    endpoint.leaving = True
    return [
        _log('endpoint says that it leaves', endpoint, event),
        _count(endpoint, 'leaving'),
    ]


def _pause(endpoint: _state.Endpoint, event: events.NoticeReceived) -> Effects:
    """Take a pause from when it was heard of; none is cut short."""
    until_ms = event.at_ms + event.notice.pause_ms
    if not event.notice.pause_ms or until_ms <= endpoint.paused_until_ms:
        return []
    endpoint.paused_until_ms = until_ms
    return [
        _log('endpoint asks for a pause', endpoint, event),
        _count(endpoint, 'pause'),
    ]


def _rate_limit(
    state: _state.State,
    endpoint: _state.Endpoint,
    before: events.EndpointNotice,
    event: events.NoticeReceived,
) -> Effects:
    rate_per_s = endpoint.notice.rate_per_s
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
    """Keep the word of an endpoint that left the list: it may come back.

    Its entry lapses in an outage of the store while it lives.
    """
    if endpoint.notice_sent_ms == clock.NEVER_MS:
        return
    name = endpoint.instance.instance
    state.absent[name] = _state.Word(
        endpoint.notice, endpoint.notice_sent_ms, endpoint.paused_until_ms
    )
    if len(state.absent) > MOST_ABSENT:
        del state.absent[next(iter(state.absent))]


def recall(state: _state.State, endpoint: _state.Endpoint) -> None:
    """Bring back what an endpoint said before it left the list."""
    name = endpoint.instance.instance
    word = state.absent.pop(name, None)
    if word is None:
        return
    endpoint.notice = word.notice
    endpoint.notice_sent_ms = word.sent_ms
    endpoint.paused_until_ms = word.paused_until_ms
    endpoint.leaving = endpoint.leaving or word.notice.leaving
    if word.notice.rate_per_s is not None:
        state.rate_limited[name] = None


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
