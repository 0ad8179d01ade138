"""Write the answer of one exchange to its caller.

A truncated answer must never look complete to its caller. A body therefore
has a length or is chunked, an event stream always the latter, and if it can't
be completed the connection is closed without the last chunk. A caller that
speaks HTTP/1.0 knows no chunks: its connection is reset unless the answer was
completed.
"""

import asyncio
import collections.abc
import socket
import struct
import typing

from aiohttp import abc
from aiohttp import web
import multidict

from berylhollow import answer_body
from berylhollow import effects
from berylhollow import errors
from berylhollow.gateway import _answers
from berylhollow.gateway import _dialect
from berylhollow.gateway import _exchange
from berylhollow.gateway import _relay
from berylhollow import outgoing

MAX_STORED_ANSWER_BYTES = 16 * 1024
"""Answers up to this size are stored for requests with an idempotency key."""

ERROR_FLUSH_TIMEOUT_S = 1.0
"""Time limit to write the error event that ends a broken stream."""

OTHER_GATEWAY_KINDS = frozenset({errors.Kind.KEY_UNPROVEN})
"""Errors that close the connection: another gateway may be able to serve the
caller, whose next request on this connection would reach this one again."""

# SO_LINGER switched off: a close is a plain one.
PLAIN_CLOSE = struct.pack('ii', 0, 0)


class StalledError(Exception):
    """The caller read nothing of its answer for too long."""


class AnswerListener(typing.Protocol):
    """Callbacks for the progress of answers, implemented by the shell."""

    def now_ms(self) -> int:
        """Return the current time."""

    def answer_relayed(
        self, exchange: _exchange.Exchange, body: bytes | None
    ) -> None:
        """The complete answer was written to the caller's connection."""

    def answer_broken(self, exchange: _exchange.Exchange) -> None:
        """All frames arrived, but not the declared length of the body."""


def complete_response(
    exchange: _exchange.Exchange,
    answer_start: effects.AnswerError | effects.AnswerStored,
    dialect: _dialect.Dialect,
) -> web.Response:
    """Return the response for a stored answer or an error."""
    if isinstance(answer_start, effects.AnswerStored):
        exchange.status = answer_start.status
        exchange.ran = errors.Ran.RAN
        headers = dialect.relayed_headers(
            answer_start.headers, exchange.shown_id
        )
        return web.Response(
            status=answer_start.status,
            headers=_with_content_length(headers, len(answer_start.body)),
            body=answer_start.body,
        )
    exchange.record_failure(answer_start.kind, answer_start.ran)
    response = dialect.error_response(
        answer_start.kind,
        answer_start.ran,
        exchange.shown_id,
        answer_start.retry_after_ms,
        answer_start.detail,
    )
    exchange.status = response.status
    if answer_start.kind in OTHER_GATEWAY_KINDS:
        response.force_close()
    return response


def _with_content_length(headers, length: int) -> multidict.CIMultiDict:
    result = multidict.CIMultiDict(headers)
    result['Content-Length'] = str(length)
    return result


class RelayedAnswer:
    """An answer that is written to its caller while its frames arrive."""

    def __init__(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        relay: _relay.Relay,
        listener: AnswerListener,
        dialect: _dialect.Dialect,
        stall_timeout_s: float,
        close_connection: bool,
    ):
        self.request = request
        self.exchange = exchange
        self.relay = relay
        self.listener = listener
        self.dialect = dialect
        self.stall_timeout_s = stall_timeout_s
        self.has_no_body = (
            request.method == outgoing.HEAD
            or relay.begin.status in outgoing.BODYLESS_STATUSES
        )
        self.response = self._make_response(close_connection)
        self.declared_length = self.response.content_length
        if self.is_event_stream and not self.has_no_body:
            # Whether its last event is whole is known only after its end.
            self.response.headers.pop('Content-Length', None)
        self.writer: abc.AbstractStreamWriter | None = None
        self.written_bytes = 0
        self.stored_parts: list[bytes] | None = None
        if exchange.request.key is not None:
            self.stored_parts = []

    def _make_response(self, close_connection: bool) -> web.StreamResponse:
        begin = self.relay.begin
        headers = self.dialect.relayed_headers(
            begin.headers, self.exchange.shown_id
        )
        response = web.StreamResponse(
            status=begin.status, headers=multidict.CIMultiDict(headers)
        )
        if close_connection:
            response.force_close()
        return response

    @property
    def is_event_stream(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        return self.response.content_type == answer_body.EVENT_STREAM_TYPE

    async def write(self) -> web.StreamResponse:
        """Write the answer to its end.

        Raises StalledError if the caller reads nothing for too long, and
        ConnectionError if it has disconnected.
        """
        relay = self.relay
        self.exchange.status = relay.begin.status
        self.writer = await self.response.prepare(self.request)
        if self._is_delimited_by_close():
            _set_linger(self.request, outgoing.RESET_ON_CLOSE)
        relay.attach(self)
        await relay.wait()
        while relay.blocked and relay.failure is None:
            await self._drain(self.stall_timeout_s)
            relay.unblock()
            await relay.wait()
        if relay.failure is not None:
            await self._break_answer(relay.failure.kind, relay.failure.ran)
        elif not self._has_declared_length():
            self.listener.answer_broken(self.exchange)
            await self._break_answer(
                errors.Kind.STREAM_BROKEN, errors.Ran.UNKNOWN
            )
        else:
            await self._finish()
        return self.response

    def put(self, payload: bytes) -> bool:
        """Write a payload; False if the connection's buffer is full."""
        if self.exchange.first_byte_ms is None:
            self.exchange.first_byte_ms = self.listener.now_ms()
        self.written_bytes += len(payload)
        if self.stored_parts is not None:
            self._store_part(payload)
        if self.has_no_body:
            return True
        try:
            _run_without_waiting(self.writer.write(payload, drain=False))
        except ConnectionError:
            # The task that runs ``write`` gets the error when it drains.
            return False
        return not self.request.protocol.writing_paused

    def _store_part(self, data: bytes) -> None:
        self.stored_parts.append(data)
        if self.written_bytes > MAX_STORED_ANSWER_BYTES:
            self.stored_parts = None

    def _has_declared_length(self) -> bool:
        """Return whether the body has the length its head declares."""
        if self.has_no_body or self.declared_length is None:
            return True
        return self.written_bytes == self.declared_length

    def _is_delimited_by_close(self) -> bool:
        """Return whether the close of the connection marks the body's end."""
        return (
            self.request.version < _dialect.HTTP_1_1
            and self.response.content_length is None
            and not self.has_no_body
        )

    async def _finish(self) -> None:
        await self.response.write_eof()
        self.relay.acknowledge(0)
        await self._flush(self.stall_timeout_s)
        if self._is_delimited_by_close():
            _set_linger(self.request, PLAIN_CLOSE)
        self.exchange.ran = errors.Ran.RAN
        body = (
            None if self.stored_parts is None else b''.join(self.stored_parts)
        )
        self.listener.answer_relayed(self.exchange, body)

    async def _break_answer(self, kind: errors.Kind, ran: errors.Ran) -> None:
        """Abort the connection, after an error event if it is a stream.

        The last chunk is not sent: the answer would look complete.
        """
        self.exchange.record_failure(kind, ran)
        self.response.force_close()
        try:
            if self.is_event_stream and self.dialect.sends_error_events:
                event = _answers.error_event(kind, ran, self.exchange.shown_id)
                await self.writer.write(event, drain=False)
            await self._flush(ERROR_FLUSH_TIMEOUT_S)
        except (StalledError, ConnectionError):
            pass
        finally:
            abort_connection(self.request)

    async def _flush(self, timeout: float) -> None:
        """Wait until the transport's write buffer is empty.

        If a caller stops reading near the end of its answer, the library
        would otherwise keep the connection and its buffer without limit.
        """
        transport = self.request.transport
        if transport is None or transport.get_write_buffer_size() == 0:
            return
        low, high = transport.get_write_buffer_limits()
        transport.set_write_buffer_limits(high=0)
        try:
            await self._drain(timeout)
        finally:
            transport.set_write_buffer_limits(high=high, low=low)

    async def _drain(self, timeout: float) -> None:
        """Wait until the transport accepts more data.

        Raises StalledError if no byte was sent within ``timeout`` seconds.
        """
        transport = self.request.transport
        while True:
            unsent_bytes = (
                transport.get_write_buffer_size() if transport else 0
            )
            try:
                async with asyncio.timeout(timeout):
                    await self.writer.drain()
                    return
            except TimeoutError:
                if transport.get_write_buffer_size() >= unsent_bytes:
                    raise StalledError from None


def _run_without_waiting(coroutine: collections.abc.Coroutine) -> None:
    """Run a coroutine to its end; it must not wait.

    The library writes a chunk with a coroutine that waits only for a drain.
    Running it here avoids a task switch for each token.
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return
    coroutine.close()
    raise RuntimeError('the coroutine had to wait')


def _set_linger(request: web.BaseRequest, linger: bytes) -> None:
    """Set what a close of a request's connection does, also at a kill."""
    if request.transport is not None:
        opened_socket = request.transport.get_extra_info('socket')
        opened_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def abort_connection(request: web.BaseRequest) -> None:
    """Abort the connection of a request."""
    if request.transport is not None:
        request.transport.abort()
