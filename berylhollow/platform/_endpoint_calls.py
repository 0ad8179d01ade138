"""Send requests to endpoints and decode the heads of their responses."""

import collections.abc
import dataclasses
import enum
import functools

import aiohttp
import multidict
import yarl

from berylhollow import answer_body
from berylhollow import events
from berylhollow import liveness
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.platform import _notices

REQUEST_ID_HEADER = 'Request-Id'
DEADLINE_HEADER = 'Deadline-Ms'
EXPECTED_INSTANCE_HEADER = 'Expect-Instance'
EXPECTED_VERSION_HEADER = 'Expect-Version'
PRIORITY_HEADER = 'Request-Priority'
NOT_EXECUTED_HEADER = 'Not-Executed'
INSTANCE_HEADER = 'Instance-Id'
SIGNATURE_HEADER = 'Server-Seal'
WORKSPACE_HEADER = 'Tenant'

LEAST_URGENT_PRIORITY = 9
MOST_URGENT_PRIORITY = 4
"""Sent for requests whose priority here is 0, the most urgent.

Endpoints assume 5 for requests without the header, so the most urgent
requests go ahead of those from other senders."""

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
TOO_MANY_REQUESTS_STATUS = 429

# Callers must not set these: their values could reserve memory, move another
# request's state or choose the endpoint.
RESERVED_HEADERS = frozenset(
    {
        'deadline-ms',
        'expect',
        'expect-instance',
        'expect-version',
        'hold',
        'kv-backup',
        'kv-fetch',
        'kv-from',
        'pin-ms',
        'request-priority',
    }
)
SKIPPED_DEFAULT_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    'Content-Type',
)


class NotRunReason(enum.Enum):
    """Reason that an endpoint gives for not running a request."""

    FULL = 'full'
    ANOTHER_INSTANCE = 'another_instance'
    ADAPTER_ABSENT = 'adapter_absent'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of an endpoint's response.

    ``not_run`` is set only if the response states that the request has not
    run. ``is_for_this_request`` is true if the response carries the id of this
    request. ``is_signed`` is true if it carries the endpoint's signature; a
    successful status without one does not count as success. ``notice`` is the
    endpoint's status notice about itself, independent of the request; None if
    it is not known to come from the endpoint.
    """

    status: int
    headers: tuple[messages.Header, ...]
    not_run: NotRunReason | None
    is_for_this_request: bool
    is_signed: bool
    notice: events.EndpointNotice | None
    response: outgoing.Response
    body: answer_body.BodyReader

    def parts(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in parts as they arrive.

        Raises ``outgoing.CallOutcomeUnknown`` if the body ends early.
        """
        return self.body.parts()

    def close(self) -> None:
        """Close the connection, which cancels the request on it."""
        self.body.close()


class EndpointClient:
    """Client that sends requests directly to endpoints.

    Probes go over ``probe_session``, each on a new connection. On one that was
    open before, a request may be lost because the endpoint has ended already.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session
        self.probe_session = outgoing.open_session(reuse=False)
        self.watches = liveness.Watches(_send_check, session)

    async def send(
        self,
        offer: messages.Offer,
        address: str,
        instance: str,
        check_path: str,
    ) -> Answer:
        """Send one attempt and return the head of its response.

        ``check_path`` is where the endpoint answers health checks.

        Raises ``outgoing.CallNotSent`` if nothing was sent, and
        ``outgoing.CallOutcomeUnknown`` on any later failure.
        """
        headers = _request_headers(offer, instance)
        url = yarl.URL(f'http://{address}{offer.path}', encoded=True)
        target = liveness.Target(f'http://{address}', instance, check_path)
        watch = self.watches.watch(target)
        call = functools.partial(
            outgoing.open_call,
            self.probe_session if offer.is_probe else self.session,
            offer.method,
            url,
            headers=headers,
            data=offer.body or None,
            skip_auto_headers=SKIPPED_DEFAULT_HEADERS,
        )
        response = await watch.send(call, is_pooled=not offer.is_probe)
        body = answer_body.BodyReader(response, watch.begin)
        request_id = headers.get(REQUEST_ID_HEADER)
        return _decode_head(response, body, request_id, instance)

    async def listening_since(
        self, address: str, instance: str, check_path: str
    ) -> float | None:
        """Return since when the endpoint's process is known to be up.

        The time is that of the event loop's clock, in seconds; None if the
        process doesn't show that it lives.
        """
        target = liveness.Target(f'http://{address}', instance, check_path)
        return await self.watches.watch(target).listening_since()

    async def close(self) -> None:
        """Close all connections."""
        await self.watches.close()
        await self.session.close()
        await self.probe_session.close()


def _request_headers(
    offer: messages.Offer, instance: str
) -> multidict.CIMultiDict[str]:
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    headers['Host'] = offer.host
    for header in offer.headers:
        if header.name.lower() not in RESERVED_HEADERS:
            headers.add(header.name, header.value)
    if offer.caller:
        headers[WORKSPACE_HEADER] = offer.caller
    headers[DEADLINE_HEADER] = str(max(1, offer.remaining_ms))
    headers[EXPECTED_INSTANCE_HEADER] = instance
    priority = min(
        LEAST_URGENT_PRIORITY, MOST_URGENT_PRIORITY + offer.priority
    )
    headers[PRIORITY_HEADER] = str(priority)
    if offer.adapter is not None:
        headers[EXPECTED_VERSION_HEADER] = offer.adapter.version
    return headers


async def _send_check(session, target: liveness.Target) -> liveness.Checked:
    """Send a health check; raises ``outgoing.CallError`` without an answer.

    An answer of another endpoint is none.
    """
    response, checked = await liveness.send_check(
        session,
        target,
        {
            EXPECTED_INSTANCE_HEADER: target.instance,
            DEADLINE_HEADER: str(liveness.CHECK_DEADLINE_MS),
        },
    )
    if _not_run_reason(response, target.instance) is (
        NotRunReason.ANOTHER_INSTANCE
    ):
        raise outgoing.CallOutcomeUnknown('answered by another endpoint')
    return checked


def _decode_head(
    response: outgoing.Response,
    body: answer_body.BodyReader,
    request_id: str | None,
    instance: str,
) -> Answer:
    headers = tuple(
        messages.Header(name, value)
        for name, value in response.headers.items()
    )
    own = response.headers.get(REQUEST_ID_HEADER) == request_id
    signed = SIGNATURE_HEADER in response.headers
    not_run = _not_run_reason(response, instance)
    proven = own and (signed or not_run is not None)
    return Answer(
        status=response.status,
        headers=headers,
        not_run=not_run,
        is_for_this_request=own,
        is_signed=signed,
        notice=_decode_notice(response, not_run, proven),
        response=response,
        body=body,
    )


def _decode_notice(
    response: aiohttp.ClientResponse,
    not_run: NotRunReason | None,
    proven: bool,
) -> events.EndpointNotice | None:
    """Return the endpoint's notice about itself, None if there is no proof.

    A notice counts even in a response that is corrupted or may belong to
    another request. The absence of one counts only if ``proven``.
    """
    if not_run is NotRunReason.ANOTHER_INSTANCE:
        return None
    notice = _notices.decode(response.status, response.headers)
    if notice.empty and not proven:
        return None
    return notice


def _not_run_reason(
    response: aiohttp.ClientResponse, instance: str
) -> NotRunReason | None:
    if response.status == MISDIRECTED_STATUS:
        other = response.headers.get(INSTANCE_HEADER, instance)
        if other != instance:
            return NotRunReason.ANOTHER_INSTANCE
        return NotRunReason.ADAPTER_ABSENT
    if NOT_EXECUTED_HEADER not in response.headers:
        return None
    if response.status in (UNAVAILABLE_STATUS, TOO_MANY_REQUESTS_STATUS):
        return NotRunReason.FULL
    return NotRunReason.REFUSED
