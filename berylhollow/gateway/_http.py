"""The gateway's HTTP front end: take callers' requests, answer each one."""

import asyncio
import logging
import typing

import aiohttp
from aiohttp import http_exceptions
from aiohttp import web

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _answers
from berylhollow.gateway import _exchange
from berylhollow.gateway import _parsing
from berylhollow.gateway import _responding
from berylhollow import settings as all_settings

LOG = logging.getLogger(__name__)

MS_PER_SECOND = 1000
KEEPALIVE_TIMEOUT_S = 75
"""Idle connections, and those whose head does not come, end after this."""

LINGERING_S = 2
"""How long the rest of a refused body is read, so the refusal arrives."""

IDLE_CHECK_S = 0.01
BACKLOG = 1024
MODEL_PATHS = frozenset({'/v1/chat/completions', '/v1/completions'})
SERVICES_PREFIX = '/v1/services/'
SERVICE_METHODS = frozenset(
    {'DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'}
)
READ_METHODS = frozenset({'GET', 'HEAD'})
POST_METHODS = frozenset({'POST'})
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
HTTP_1_1 = (1, 1)


class Owner(_responding.Reports, typing.Protocol):
    """What the front end needs of the shell."""

    stopping: bool

    def arrived(self, exchange: _exchange.Exchange) -> None:
        """Take a request that is valid in form."""

    def gone(self, exchange: _exchange.Exchange) -> None:
        """The caller left, or takes nothing, before its answer was whole."""

    def forget(self, exchange: _exchange.Exchange) -> None:
        """Forget the exchange: its caller will get nothing more."""

    def refused(self, kind: errors.Kind) -> None:
        """A request was refused for its form."""

    async def page(self, path: str) -> web.Response | None:
        """Return a page of the gateway itself, None for an unknown path."""


class Connection(web.RequestHandler):
    """A caller's connection; what is no HTTP gets a typed error too."""

    def __init__(self, ids: _parsing.RequestIds, *given, **options):
        super().__init__(*given, **options)
        self.ids = ids

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a failure that no handler answered."""
        if request.writer.output_size > 0:
            # Part of another answer is out: only the end of the connection
            # tells the caller that it is not whole.
            raise ConnectionError('the answer has begun')
        kind = errors.Kind.INTERNAL
        if isinstance(
            exc, http_exceptions.LineTooLong | http_exceptions.InvalidHeader
        ):
            kind = errors.Kind.BAD_HEADER
        elif isinstance(exc, http_exceptions.HttpProcessingError):
            kind = errors.Kind.BAD_REQUEST
        else:
            LOG.error('request failed', exc_info=exc)
        shown_id = self.ids.next()
        response = _answers.error_response(
            kind, errors.ANSWERS[kind].ran, shown_id
        )
        response.force_close()
        return response


class Server(web.Server):
    """The server for callers' connections."""

    def __init__(self, handler, ids: _parsing.RequestIds):
        super().__init__(handler, handler_cancellation=True)
        self.ids = ids

    def __call__(self) -> Connection:
        return Connection(
            self.ids,
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            lingering_time=LINGERING_S,
        )


class FrontEnd:
    """Listen for callers and see every request to its answer."""

    def __init__(self, settings: all_settings.GatewaySettings, owner: Owner):
        self.settings = settings
        self.owner = owner
        self.ids = _parsing.RequestIds()
        self.slow_timeout = settings.slow_client_timeout_ms / MS_PER_SECOND
        self.port = settings.listen.port
        self.server: Server | None = None
        self.busy: set[asyncio.BaseProtocol] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; ``port`` then is the real one. Raises OSError."""
        self.server = Server(self.serve, self.ids)
        self._listener = await asyncio.get_running_loop().create_server(
            self.server,
            self.settings.listen.host,
            self.settings.listen.port,
            backlog=BACKLOG,
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Take no new connection and close those that are idle."""
        if self._listener is not None:
            self._listener.close()
        for connection in self.server.connections:
            if connection not in self.busy:
                connection.force_close()

    async def idle(self) -> None:
        """Return once no request is in flight."""
        while self.busy:
            await asyncio.sleep(IDLE_CHECK_S)

    async def close(self) -> None:
        """Close everything; what is still in flight is cut off."""
        self.stop_listening()
        await self.server.shutdown(0)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        request_id = shown_id = self.ids.next()
        protocol = request.protocol
        self.busy.add(protocol)
        try:
            shown_id = _parsing.echoed_id(request.headers) or shown_id
            response = await self._answer(request, request_id, shown_id)
        except errors.BerylhollowError as error:
            self.owner.refused(error.kind)
            response = _answers.error_response(
                error.kind, error.answer.ran, shown_id, detail=str(error)
            )
            if error.kind is errors.Kind.CALLER_TOO_SLOW:
                response.force_close()
        finally:
            self.busy.discard(protocol)
        if self.owner.stopping and not response.prepared:
            response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, request_id: str, shown_id: str
    ) -> web.StreamResponse:
        path = request.raw_path.partition('?')[0]
        if path in MODEL_PATHS:
            _check_method(request, POST_METHODS)
            taken = await self._take_model_request(request, request_id, path)
        elif path.startswith(SERVICES_PREFIX):
            _check_method(request, SERVICE_METHODS)
            taken = await self._take_service_request(request, request_id)
        else:
            response = await self.owner.page(path)
            if response is None:
                raise errors.BerylhollowError(errors.Kind.NOT_FOUND)
            _check_method(request, READ_METHODS)
            return response
        return await self._see_through(request, taken, shown_id)

    async def _take_model_request(
        self, request: web.BaseRequest, request_id: str, path: str
    ) -> events.Request:
        terms = self._terms(request)
        _parsing.check_json_headers(request.headers)
        headers = _parsing.passed_headers(request.headers)
        body = await self._read_body(request)
        call = _parsing.model_call(body)
        return _parsing.build(
            request_id,
            terms,
            terms.service,
            call,
            request.method,
            path,
            headers,
            body,
        )

    async def _take_service_request(
        self, request: web.BaseRequest, request_id: str
    ) -> events.Request:
        terms = self._terms(request)
        rest = request.raw_path[len(SERVICES_PREFIX) :]
        service, _, tail = rest.partition('/')
        path = f'/{tail}'
        _parsing.check_service_path(service, path)
        headers = _parsing.passed_headers(request.headers)
        body = await self._read_body(request)
        return _parsing.build(
            request_id,
            terms,
            service,
            None,
            request.method,
            path,
            headers,
            body,
        )

    def _terms(self, request: web.BaseRequest) -> _parsing.CallerTerms:
        # Before HTTP/1.1 the end of a connection is the end of an answer:
        # one that is cut short would look whole.
        if request.version < HTTP_1_1:
            raise errors.BerylhollowError(
                errors.Kind.BAD_REQUEST, 'HTTP/1.1 is required.'
            )
        return _parsing.caller_terms(
            request.headers, self.settings.deadline_ms
        )

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        """Return the whole body.

        Raises BODY_TOO_LARGE, CALLER_TOO_SLOW if it takes too long as a
        whole, and BAD_REQUEST if it is cut short or badly chunked.
        """
        if (request.content_length or 0) > self.settings.body_limit_bytes:
            raise errors.BerylhollowError(errors.Kind.BODY_TOO_LARGE)
        await _expect(request)
        content = request.content
        try:
            if content.is_eof():
                return self._bounded(content.read_nowait(-1))
            async with asyncio.timeout(self.slow_timeout):
                return await self._read_slowly(content)
        except TimeoutError:
            raise errors.BerylhollowError(
                errors.Kind.CALLER_TOO_SLOW
            ) from None
        except (aiohttp.ClientError, web.RequestPayloadError) as error:
            raise errors.BerylhollowError(
                errors.Kind.BAD_REQUEST, 'The body is not valid.'
            ) from error

    async def _read_slowly(self, content: aiohttp.StreamReader) -> bytes:
        data = bytearray()
        while not content.at_eof():
            data += await content.readany()
            self._bounded(data)
        return bytes(data)

    def _bounded(self, data):
        if len(data) > self.settings.body_limit_bytes:
            raise errors.BerylhollowError(errors.Kind.BODY_TOO_LARGE)
        return data

    async def _see_through(
        self, request: web.BaseRequest, taken: events.Request, shown_id: str
    ) -> web.StreamResponse:
        """See a request through the reducer to its answer."""
        exchange = _exchange.Exchange(
            taken,
            shown_id,
            self.owner.now_ms(),
            asyncio.get_running_loop(),
        )
        try:
            self.owner.arrived(exchange)
            return await self._respond(request, exchange)
        except (ConnectionError, _responding.StalledError):
            self._leave(exchange)
            _responding.abort(request)
            raise ConnectionResetError('the caller is gone') from None
        except asyncio.CancelledError:
            self._leave(exchange)
            raise
        finally:
            self.owner.forget(exchange)

    def _leave(self, exchange: _exchange.Exchange) -> None:
        exchange.failed(errors.Kind.CANCELLED, errors.Ran.UNKNOWN)
        self.owner.gone(exchange)

    async def _respond(
        self, request: web.BaseRequest, exchange: _exchange.Exchange
    ) -> web.StreamResponse:
        beginning = await exchange.beginning
        if not isinstance(beginning, effects.BeginAnswer):
            return _responding.whole_answer(exchange, beginning)
        answer = _responding.RelayedAnswer(
            request,
            exchange,
            exchange.relay,
            self.owner,
            self.slow_timeout,
            self.owner.stopping,
        )
        return await answer.write()


def _check_method(request: web.BaseRequest, allowed: frozenset[str]) -> None:
    if request.method not in allowed:
        raise errors.BerylhollowError(errors.Kind.METHOD_NOT_ALLOWED)


async def _expect(request: web.BaseRequest) -> None:
    """Ask for a body that the caller holds back until it is wanted."""
    expected = request.headers.get('Expect')
    if expected is None:
        return
    if expected.lower() != '100-continue':
        raise errors.BerylhollowError(
            errors.Kind.BAD_HEADER, 'Expect is not valid.'
        )
    await request.writer.write(CONTINUE)
    # The interim answer is not part of the answer itself.
    request.writer.output_size = 0
