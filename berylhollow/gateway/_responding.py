"""Write the answer of one exchange to its caller, whole or visibly broken.

What a caller must never get is an answer that was cut short and looks
whole. A body therefore has a length or is chunked, and one that can't be
completed ends with the connection, without the last chunk.
"""

import asyncio
import collections.abc
import typing

from aiohttp import abc
from aiohttp import web
import multidict

from berylhollow import effects
from berylhollow import errors
from berylhollow.gateway import _answers
from berylhollow.gateway import _dialect
from berylhollow.gateway import _exchange
from berylhollow.gateway import _relay

STORED_ANSWER_BYTES = 16 * 1024
"""Answers up to this size are kept for a request with a key."""

ERROR_FLUSH_TIMEOUT_S = 1.0
"""How long a caller may take to receive the error that ends its stream."""

ELSEWHERE_KINDS = frozenset({errors.Kind.KEY_UNPROVEN})
"""Another gateway may well serve the caller, whose next request on the same
connection would meet this one again."""

BODILESS_STATUSES = frozenset({204, 304})


class StalledError(Exception):
    """The caller took nothing of its answer for too long."""


class Reports(typing.Protocol):
    """What the writer of an answer reports to the shell."""

    def now_ms(self) -> int:
        """Return the time."""

    def relayed(
        self, exchange: _exchange.Exchange, body: bytes | None
    ) -> None:
        """The caller's connection took the whole answer."""

    def broken(self, exchange: _exchange.Exchange) -> None:
        """The answer can't be whole, though its frames are complete."""


def whole_answer(
    exchange: _exchange.Exchange,
    beginning: effects.AnswerError | effects.AnswerStored,
    dialect: _dialect.Dialect,
) -> web.Response:
    """Return an answer that is known as a whole."""
    if isinstance(beginning, effects.AnswerStored):
        exchange.status = beginning.status
        exchange.ran = errors.Ran.RAN
        headers = dialect.relayed_headers(beginning.headers, exchange.shown_id)
        return web.Response(
            status=beginning.status,
            headers=_with_length(headers, len(beginning.body)),
            body=beginning.body,
        )
    exchange.failed(beginning.kind, beginning.ran)
    response = dialect.error_response(
        beginning.kind,
        beginning.ran,
        exchange.shown_id,
        beginning.retry_after_ms,
        beginning.detail,
    )
    exchange.status = response.status
    if beginning.kind in ELSEWHERE_KINDS:
        response.force_close()
    return response


def _with_length(headers, length: int) -> multidict.CIMultiDict:
    kept = multidict.CIMultiDict(headers)
    kept['Content-Length'] = str(length)
    return kept


class RelayedAnswer:
    """One answer that is written while its frames arrive."""

    def __init__(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        relay: _relay.Relay,
        reports: Reports,
        dialect: _dialect.Dialect,
        stall_timeout: float,
        last: bool,
    ):
        self.request = request
        self.exchange = exchange
        self.relay = relay
        self.reports = reports
        self.dialect = dialect
        self.stall_timeout = stall_timeout
        self.response = self._response(last)
        self.length = self.response.content_length
        self.bodiless = (
            request.method == 'HEAD' or relay.begin.status in BODILESS_STATUSES
        )
        self.writer: abc.AbstractStreamWriter | None = None
        self.written = 0
        self.kept: list[bytes] | None = None
        if exchange.request.key is not None:
            self.kept = []

    def _response(self, last: bool) -> web.StreamResponse:
        begin = self.relay.begin
        headers = self.dialect.relayed_headers(
            begin.headers, self.exchange.shown_id
        )
        response = web.StreamResponse(
            status=begin.status, headers=multidict.CIMultiDict(headers)
        )
        if last:
            response.force_close()
        return response

    async def write(self) -> web.StreamResponse:
        """Write the answer to its end.

        Raises StalledError if the caller takes nothing for too long, and
        ConnectionError if it is gone.
        """
        relay = self.relay
        self.exchange.status = relay.begin.status
        self.writer = await self.response.prepare(self.request)
        relay.open(self)
        await relay.wait()
        while relay.blocked and relay.failure is None:
            await self._drain(self.stall_timeout)
            relay.unblock()
            await relay.wait()
        if relay.failure is not None:
            await self._break(relay.failure.kind, relay.failure.ran)
        elif not self._whole():
            self.reports.broken(self.exchange)
            await self._break(errors.Kind.STREAM_BROKEN, errors.Ran.UNKNOWN)
        else:
            await self._finish()
        return self.response

    def put(self, payload: bytes) -> bool:
        """Write a payload; False if the connection takes no more for now."""
        if self.exchange.first_byte_ms is None:
            self.exchange.first_byte_ms = self.reports.now_ms()
        self.written += len(payload)
        if self.kept is not None:
            self._keep(payload)
        if self.bodiless:
            return True
        try:
            _now(self.writer.write(payload, drain=False))
        except ConnectionError:
            # The task that waits for this answer hears of it when it drains.
            return False
        return not self.request.protocol.writing_paused

    def _keep(self, data: bytes) -> None:
        self.kept.append(data)
        if self.written > STORED_ANSWER_BYTES:
            self.kept = None

    def _whole(self) -> bool:
        """Tell whether the body has the length that its head declares."""
        if self.bodiless or self.length is None:
            return True
        return self.written == self.length

    async def _finish(self) -> None:
        await self.response.write_eof()
        self.relay.acknowledge(0)
        await self._flush(self.stall_timeout)
        self.exchange.ran = errors.Ran.RAN
        body = None if self.kept is None else b''.join(self.kept)
        self.reports.relayed(self.exchange, body)

    async def _break(self, kind: errors.Kind, ran: errors.Ran) -> None:
        """Cut the connection, after an error event if it is a stream.

        The last chunk is never sent: it would make the answer look whole.
        """
        self.exchange.failed(kind, ran)
        self.response.force_close()
        try:
            is_stream = (
                self.response.content_type == _answers.EVENT_STREAM_TYPE
            )
            if is_stream and self.dialect.error_events:
                event = _answers.error_event(kind, ran, self.exchange.shown_id)
                await self.writer.write(event, drain=False)
            await self._flush(ERROR_FLUSH_TIMEOUT_S)
        except (StalledError, ConnectionError):
            pass
        finally:
            abort(self.request)

    async def _flush(self, timeout: float) -> None:
        """Wait until the transport holds nothing more of the answer.

        Guards against callers that stop reading near the end: the library
        would keep the connection and its buffer for as long as they like.
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
        """Wait until the transport takes more.

        Raises StalledError when nothing at all left within ``timeout``
        seconds.
        """
        transport = self.request.transport
        while True:
            left = transport.get_write_buffer_size() if transport else 0
            try:
                async with asyncio.timeout(timeout):
                    await self.writer.drain()
                    return
            except TimeoutError:
                if transport.get_write_buffer_size() >= left:
                    raise StalledError from None


def _now(coroutine: collections.abc.Coroutine) -> None:
    """Run a coroutine that has nothing to wait for to its end.

    The library's way to write a chunk is a coroutine that waits only if it
    is asked to. Run here, it spares a task switch for each token.
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return
    coroutine.close()
    raise RuntimeError('the library waited')


def abort(request: web.BaseRequest) -> None:
    """Cut the connection of a request at once."""
    if request.transport is not None:
        request.transport.abort()
