"""Client that passes requests on to an endpoint, model engine or plain."""

import typing

import aiohttp

from berylhollow.endpoint import _types
from berylhollow import messages
from berylhollow import outgoing

ADAPTER_HEADER = 'X-Engine-Adapter'
EPOCH_HEADER = 'X-Engine-Epoch'
ADAPTER_NOT_LOADED = 'adapter_not_loaded'
NOT_FOUND = 404
WITHOUT_BODY = frozenset({204, 304})
HEAD = 'HEAD'
CHUNKED = 'chunked'
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
AUTOMATIC = frozenset({'Accept', 'Accept-Encoding', 'Content-Type'})


class EndpointAnswer:
    """An answer whose head is here and whose body may still be coming.

    ``adapter`` and ``epoch`` are what a model engine says that it ran, None
    and empty for a plain service. ``body`` is what was read of the body
    already, all of it if not None.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, body: bytes | None = None
    ):
        self.response = response
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
        """Give the body as it comes; its normal end means it is whole.

        Raises ``outgoing.MaybeDone`` if the connection breaks before, and
        at the end of an answer that has no length and no chunks.
        """
        if self.body is not None:
            yield self.body
            return
        try:
            while chunk := await self.response.content.readany():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            self.close()
            raise outgoing.MaybeDone(
                str(error) or type(error).__name__
            ) from error
        if not self.has_end():
            raise outgoing.MaybeDone('the answer has no marked end')

    def has_end(self) -> bool:
        """Return whether the end of the body can be told from a break.

        Guards against half an answer that passes for a whole one: without
        a length or chunks, an endpoint that dies looks like one that is
        done, and the caller would get the part as the whole.
        """
        return (
            self.response.method == HEAD
            or self.status in WITHOUT_BODY
            or 'Content-Length' in self.response.headers
            or self.response.headers.get('Transfer-Encoding') == CHUNKED
        )

    def close(self) -> None:
        """Drop the connection, unless the whole body was read."""
        self.response.close()


class EndpointClient:
    """Pass requests on to the endpoint at ``url``.

    ``engine`` says that it is a model engine, whose word that an adapter is
    not loaded is a refusal; a plain service's 404 is an answer.
    """

    def __init__(
        self,
        url: str,
        engine: bool,
        reusing: aiohttp.ClientSession | None = None,
        fresh: aiohttp.ClientSession | None = None,
    ):
        self.url = url.rstrip('/')
        self.engine = engine
        self.reusing = reusing or outgoing.open_session()
        self.fresh = fresh or outgoing.open_session(reuse=False)

    async def open(
        self, request: _types.EndpointRequest, timeout_ms: int | None = None
    ) -> EndpointAnswer:
        """Send a request once and return its answer's head.

        Raises ``outgoing.NotDone``, ``MaybeDone``, and ``Refused`` if a
        model engine has not the adapter loaded; any other status is the
        answer. ``timeout_ms`` covers the body too.
        """
        session = self.reusing if request.idempotent else self.fresh
        response = await outgoing.open_call(
            session,
            request.method,
            self.url + request.path,
            timeout_ms,
            headers=_end_to_end(request.headers),
            data=request.body or None,
            skip_auto_headers=AUTOMATIC,
        )
        if not self.engine or response.status != NOT_FOUND:
            return EndpointAnswer(response)
        body = await outgoing.read_body(response)
        error = outgoing.refusal(outgoing.Reply(response.status, body))
        refused = isinstance(error, outgoing.Refused)
        if refused and error.kind == ADAPTER_NOT_LOADED:
            raise error
        return EndpointAnswer(response, body)

    async def close(self) -> None:
        """Close the connections."""
        await self.reusing.close()
        await self.fresh.close()


def _end_to_end(headers: tuple[messages.Header, ...]) -> list:
    """Return the headers that concern the endpoint, as aiohttp takes them."""
    return [
        (header.name, header.value)
        for header in headers
        if header.name.lower() not in HOP_BY_HOP | SET_BY_LIBRARY
    ]


def parse_adapter(name: str | None) -> messages.AdapterVersion | None:
    """Return the adapter of ``adapter@version``; None if it is not one."""
    adapter, separator, version = (name or '').rpartition('@')
    if not separator:
        return None
    return messages.AdapterVersion(adapter, version)
