"""Requests to endpoints, and what their answers say."""

import collections.abc
import dataclasses
import enum

import aiohttp
import multidict
import yarl

from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.platform import _notices

REQUEST_ID = 'Request-Id'
DEADLINE = 'Deadline-Ms'
EXPECTED_INSTANCE = 'Expect-Instance'
EXPECTED_VERSION = 'Expect-Version'
PRIORITY = 'Request-Priority'
NOT_EXECUTED = 'Not-Executed'
INSTANCE = 'Instance-Id'
SIGNATURE = 'Server-Seal'
WORKSPACE = 'Tenant'

LEAST_PRIORITY = 9
USUAL_PRIORITY = 4
"""Of a route with our most urgent priority. An endpoint takes 5 for requests
that say nothing, so the most urgent go before what comes from elsewhere."""

MISDIRECTED = 421
FULL = 503
REFUSED = 429

# Only the system may set these: a caller's own would reserve memory, move
# another request's state or name the endpoint.
OURS = frozenset(
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
SKIPPED_DEFAULTS = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')


class NotRun(enum.Enum):
    """Why an endpoint says that it has not run a request."""

    FULL = 'full'
    ANOTHER_INSTANCE = 'another_instance'
    ADAPTER_ABSENT = 'adapter_absent'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of an endpoint's answer.

    ``not_run`` is set only when the endpoint says so. ``own`` tells that it
    is the answer to this request, ``signed`` that it bears the endpoint's
    signature, without which a success is none. ``notice`` is what the
    endpoint says of itself, whatever becomes of the request; None if it is
    not known whether the endpoint said it.
    """

    status: int
    headers: tuple[messages.Header, ...]
    not_run: NotRun | None
    own: bool
    signed: bool
    notice: events.EndpointNotice | None
    response: outgoing.Response

    async def parts(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it comes; ``MaybeDone`` if it ends early."""
        content = self.response.content
        try:
            while True:
                part = await content.readany()
                if not part:
                    break
                yield part
        except (aiohttp.ClientError, OSError) as error:
            raise outgoing.MaybeDone(
                str(error) or type(error).__name__
            ) from error
        response = self.response
        if response.ends_with_connection and response.was_reset:
            raise outgoing.MaybeDone('reset before the end of the body')

    def close(self) -> None:
        """Close the connection, which ends what runs on it."""
        self.response.close()


class EndpointCalls:
    """Send requests straight to endpoints."""

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session

    async def send(
        self, offer: messages.Offer, address: str, instance: str
    ) -> Answer:
        """Send one attempt and return the head of its answer.

        Raises ``outgoing.NotDone`` if no byte left, else ``MaybeDone``.
        """
        headers = _headers(offer, instance)
        url = yarl.URL(f'http://{address}{offer.path}', encoded=True)
        response = await outgoing.open_call(
            self.session,
            offer.method,
            url,
            headers=headers,
            data=offer.body or None,
            skip_auto_headers=SKIPPED_DEFAULTS,
        )
        return _answer(response, headers.get(REQUEST_ID), instance)

    async def close(self) -> None:
        """Close every connection."""
        await self.session.close()


def _headers(
    offer: messages.Offer, instance: str
) -> multidict.CIMultiDict[str]:
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    headers['Host'] = offer.host
    for header in offer.headers:
        if header.name.lower() not in OURS:
            headers.add(header.name, header.value)
    if offer.caller:
        headers[WORKSPACE] = offer.caller
    headers[DEADLINE] = str(max(1, offer.remaining_ms))
    headers[EXPECTED_INSTANCE] = instance
    priority = min(LEAST_PRIORITY, USUAL_PRIORITY + offer.priority)
    headers[PRIORITY] = str(priority)
    if offer.adapter is not None:
        headers[EXPECTED_VERSION] = offer.adapter.version
    return headers


def _answer(
    response: aiohttp.ClientResponse, request_id: str | None, instance: str
) -> Answer:
    headers = tuple(
        messages.Header(name, value)
        for name, value in response.headers.items()
    )
    own = response.headers.get(REQUEST_ID) == request_id
    signed = SIGNATURE in response.headers
    not_run = _not_run(response, instance)
    proven = own and (signed or not_run is not None)
    return Answer(
        status=response.status,
        headers=headers,
        not_run=not_run,
        own=own,
        signed=signed,
        notice=_notice(response, not_run, proven),
        response=response,
    )


def _notice(
    response: aiohttp.ClientResponse, not_run: NotRun | None, proven: bool
) -> events.EndpointNotice | None:
    """Return what the endpoint says of itself.

    An answer that may be another's or is garbled can name something; that it
    names nothing proves nothing.
    """
    if not_run is NotRun.ANOTHER_INSTANCE:
        return None
    notice = _notices.decode(response.status, response.headers)
    if notice.empty and not proven:
        return None
    return notice


def _not_run(response: aiohttp.ClientResponse, instance: str) -> NotRun | None:
    if response.status == MISDIRECTED:
        other = response.headers.get(INSTANCE, instance)
        if other != instance:
            return NotRun.ANOTHER_INSTANCE
        return NotRun.ADAPTER_ABSENT
    if NOT_EXECUTED not in response.headers:
        return None
    if response.status in (FULL, REFUSED):
        return NotRun.FULL
    return NotRun.REFUSED
