"""Callers' connections: their limit, timeouts and failures."""

import asyncio
import collections.abc
import logging

from aiohttp import http_exceptions
from aiohttp import web

from berylhollow import errors
from berylhollow.gateway import _answers
from berylhollow.gateway import _dialect
from berylhollow.gateway import _parsing

LOG = logging.getLogger(__name__)

KEEPALIVE_TIMEOUT_S = 75
"""Time limit for idle connections and for a request head to arrive."""

LINGERING_TIME_S = 2
"""How long to read the rest of a refused body so that the refusal arrives."""

REFUSAL_DELIVERY_S = 1
"""How long a connection over the limit stays open to deliver its refusal."""

MAX_PENDING_REFUSALS = 100
"""How many connections over the limit may be open to deliver a refusal;
further ones are aborted without a response."""

RETRY_AFTER_MS = 1000


class Connection(web.RequestHandler):
    """A caller's connection; input that is not HTTP gets a typed error."""

    def __init__(self, server: 'Server'):
        header_bytes = server.header_bytes()
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            lingering_time=LINGERING_TIME_S,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
        )
        self.server = server

    @property
    def is_idle(self) -> bool:
        """Whether no request is being answered or is queued.

        A connection may hold a request that was read but whose handler has
        not started: closing the connection would lose that request.
        """
        return self not in self.server.busy and not self._messages

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept a connection, unless the limit is reached.

        The limit bounds memory: each connection takes some, even if it
        never sends a request.
        """
        if self.server.is_full:
            self.force_close()
            self.server.refuse(transport)
            return
        super().connection_made(transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a failure that no handler answered.

        Like every other answer it has the caller's own request id. With an
        id of the gateway it would look like the answer to another request.
        """
        if request.writer.output_size > 0:
            # Part of another answer was sent: only closing the connection
            # tells the caller that it is incomplete.
            raise ConnectionError('an answer has already begun')
        kind = _error_kind(exc)
        dialect = self.server.dialect
        shown_id = self.server.request_ids.next()
        if kind is errors.Kind.INTERNAL:
            # Only a request that was parsed completely has headers.
            shown_id = dialect.caller_request_id(request.headers) or shown_id
            fields = {'shown_id': shown_id, 'status': status}
            LOG.error('request failed', exc_info=exc, extra=fields)
        response = dialect.error_response(
            kind, errors.ANSWERS[kind].ran, shown_id
        )
        response.force_close()
        return response


def _error_kind(error: BaseException | None) -> errors.Kind:
    if isinstance(
        error, http_exceptions.LineTooLong | http_exceptions.InvalidHeader
    ):
        return errors.Kind.BAD_HEADER
    if isinstance(error, http_exceptions.HttpProcessingError):
        return errors.Kind.BAD_REQUEST
    return errors.Kind.INTERNAL


class Server(web.Server):
    """The server for callers' connections, at most ``limit`` of them.

    ``busy`` holds the connections on which a request is being answered.
    ``header_bytes`` returns the longest header line that callers may send.
    """

    def __init__(
        self,
        handler,
        request_ids: _parsing.RequestIds,
        limit: int,
        dialect: _dialect.Dialect,
        header_bytes: collections.abc.Callable[[], int],
    ):
        super().__init__(handler, handler_cancellation=True)
        self.request_ids = request_ids
        self.dialect = dialect
        self.limit = limit
        self.header_bytes = header_bytes
        self.busy: set[asyncio.BaseProtocol] = set()
        self.refused_count = 0
        self._pending_refusals = 0

    def __call__(self) -> Connection:
        return Connection(self)

    @property
    def is_full(self) -> bool:
        """Whether the limit of connections is reached."""
        return len(self._connections) >= self.limit

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in self.connections:
            if connection.is_idle:
                connection.force_close()

    def refuse(self, transport: asyncio.Transport) -> None:
        """Send a refusal on a connection over the limit, then close it."""
        self.refused_count += 1
        if self._pending_refusals >= MAX_PENDING_REFUSALS:
            transport.abort()
            return
        self._pending_refusals += 1
        transport.write(_encode_refusal(self.request_ids.next()))
        transport.write_eof()
        asyncio.get_running_loop().call_later(
            REFUSAL_DELIVERY_S, self._end_refusal, transport
        )

    def _end_refusal(self, transport: asyncio.Transport) -> None:
        self._pending_refusals -= 1
        transport.abort()


def _encode_refusal(request_id: str) -> bytes:
    """Return the HTTP response for a connection over the limit."""
    kind = errors.Kind.OVERLOADED
    response = _answers.error_response(
        kind, errors.ANSWERS[kind].ran, request_id, RETRY_AFTER_MS
    )
    lines = [f'HTTP/1.1 {response.status} {response.reason}']
    lines += [f'{name}: {value}' for name, value in response.headers.items()]
    lines += ['Connection: close', '', '']
    return '\r\n'.join(lines).encode() + response.body
