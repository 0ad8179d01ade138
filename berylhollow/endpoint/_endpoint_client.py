"""HTTP client that forwards requests to a model engine or plain service."""

import functools
import typing

import aiohttp

from berylhollow import answer_body
from berylhollow.endpoint import _types
from berylhollow import following
from berylhollow import liveness
from berylhollow import messages
from berylhollow import outgoing

ADAPTER_HEADER = 'X-Engine-Adapter'
EPOCH_HEADER = 'X-Engine-Epoch'
ADAPTER_NOT_LOADED = 'adapter_not_loaded'
NOT_FOUND = 404
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
SET_BY_LIBRARY = frozenset({'content-length', 'host'})
SKIPPED_AUTO_HEADERS = frozenset({'Accept', 'Accept-Encoding', 'Content-Type'})


class EndpointAnswer:
    """An answer whose head has arrived and whose body may still follow.

    ``adapter`` and ``epoch`` are those in which a model engine says that it
    ran the request; they are None and empty for a plain service. ``body`` is
    the whole body if it was read already, otherwise None; ``reader`` reads it.
    """

    def __init__(
        self,
        response: outgoing.Response,
        reader: answer_body.BodyReader | None,
        body: bytes | None = None,
    ):
        self.reader = reader
        self.body = body
        self.status = response.status
        self.headers = tuple(
            messages.Header(name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP
        )
        self.adapter = parse_adapter(response.headers.get(ADAPTER_HEADER))
        self.epoch = response.headers.get(EPOCH_HEADER, '')

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body as it arrives; a normal end means it is complete.

        Raises ``outgoing.CallOutcomeUnknown`` if the connection breaks before
        the end of the body, and its subclass ``answer_body.BodyTruncated`` if
        the end itself shows that the body is not complete.
        """
        if self.body is not None:
            yield self.body
            return
        try:
            async for part in self.reader.parts():
                yield part
            await self.reader.check_endpoint_lives()
        except outgoing.CallOutcomeUnknown:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection, unless the whole body was read."""
        if self.reader is not None:
            self.reader.close()


class EndpointClient:
    """Forwards requests to the endpoint at ``url``.

    ``engine`` marks a model engine: its 404 with the code for an adapter that
    is not loaded is a refusal. A plain service's 404 is an answer.
    ``pooled_session`` keeps connections for reuse, ``unpooled_session`` opens
    one for each request.
    """

    def __init__(
        self,
        url: str,
        engine: bool,
        pooled_session: aiohttp.ClientSession | None = None,
        unpooled_session: aiohttp.ClientSession | None = None,
    ):
        self.url = url.rstrip('/')
        self.engine = engine
        self.pooled_session = pooled_session or outgoing.open_session()
        self.unpooled_session = unpooled_session or outgoing.open_session(
            reuse=False
        )
        self.watches = liveness.Watches(_send_check, self.pooled_session)

    async def open(
        self, request: _types.EndpointRequest, timeout_ms: int | None = None
    ) -> EndpointAnswer:
        """Send a request once and return the answer as its head arrives.

        Raises ``outgoing.CallNotSent`` and ``CallOutcomeUnknown``, and
        ``CallRefused`` if a model engine has not loaded the adapter. Any other
        error status is returned as the answer. ``timeout_ms`` covers the body
        too.
        """
        session = (
            self.pooled_session
            if request.idempotent
            else self.unpooled_session
        )
        target = liveness.Target(self.url, '', following.DEFAULT_CHECK_PATH)
        watch = self.watches.watch(target)
        call = functools.partial(
            outgoing.open_call,
            session,
            request.method,
            self.url + request.path,
            timeout_ms,
            headers=_end_to_end_headers(request.headers),
            data=request.body or None,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
        )
        response = await watch.send(call, is_pooled=request.idempotent)
        if not self.engine or response.status != NOT_FOUND:
            body = answer_body.BodyReader(response, watch.begin)
            return EndpointAnswer(response, body)
        body = await outgoing.read_body(response)
        error = outgoing.error_from_reply(
            outgoing.Reply(response.status, body)
        )
        refused = isinstance(error, outgoing.CallRefused)
        if refused and error.kind == ADAPTER_NOT_LOADED:
            raise error
        return EndpointAnswer(response, None, body)

    async def close(self) -> None:
        """Close the connections."""
        await self.watches.close()
        await self.pooled_session.close()
        await self.unpooled_session.close()


async def _send_check(session, target: liveness.Target) -> liveness.Checked:
    """Send a health check; raises ``outgoing.CallError`` without an answer."""
    _, checked = await liveness.send_check(session, target, {})
    return checked


def _end_to_end_headers(headers: tuple[messages.Header, ...]) -> list:
    """Return the headers to forward to the endpoint, as aiohttp takes them."""
    return [
        (header.name, header.value)
        for header in headers
        if header.name.lower() not in HOP_BY_HOP | SET_BY_LIBRARY
    ]


def parse_adapter(name: str | None) -> messages.AdapterVersion | None:
    """Parse ``adapter@version``; return None if it has no version."""
    adapter, separator, version = (name or '').rpartition('@')
    if not separator:
        return None
    return messages.AdapterVersion(adapter, version)
