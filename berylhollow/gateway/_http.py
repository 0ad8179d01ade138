"""The gateway's HTTP front end: accepts and answers callers' requests."""

import asyncio
import logging
import typing

from aiohttp import web

from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _bodies
from berylhollow.gateway import _connections
from berylhollow.gateway import _dialect
from berylhollow.gateway import _exchange
from berylhollow.gateway import _parsing
from berylhollow.gateway import _refusal
from berylhollow.gateway import _responding
from berylhollow import settings as all_settings

LOG = logging.getLogger(__name__)

IDLE_POLL_INTERVAL_S = 0.01
HANDLER_SHUTDOWN_TIMEOUT_S = 0.1
"""How long request handlers may take to end when the server closes."""

LISTEN_BACKLOG = 1024
CONNECTION_CLOSING_KINDS = _responding.OTHER_GATEWAY_KINDS | {
    errors.Kind.CALLER_TOO_SLOW,
    errors.Kind.OVERLOADED,
}
READ_METHODS = frozenset({'GET', 'HEAD'})


class Owner(_responding.AnswerListener, typing.Protocol):
    """What the front end needs from the shell."""

    stopping: bool

    def request_arrived(self, exchange: _exchange.Exchange) -> None:
        """Take a valid request."""

    def caller_gone(self, exchange: _exchange.Exchange) -> None:
        """The caller disconnected or stalled before its answer was sent."""

    def forget_exchange(self, exchange: _exchange.Exchange) -> None:
        """Drop the exchange: its caller will get nothing more."""

    def header_bytes(self) -> int:
        """Return the longest header line that a caller may send."""

    def request_refused(self, kind: errors.Kind) -> None:
        """A request was refused before the reducer knew of it."""

    def head_refusal(
        self, head: events.RequestHead, shown_id: str
    ) -> _refusal.Refusal | None:
        """Return why a request is refused by its head, None if it is not."""

    async def gateway_page(self, path: str) -> web.Response | None:
        """Return one of the gateway's own pages, None if unknown."""


class FrontEnd:
    """Listens for callers and answers each of their requests."""

    def __init__(
        self,
        settings: all_settings.GatewaySettings,
        owner: Owner,
        dialect: _dialect.Dialect,
    ):
        self.settings = settings
        self.owner = owner
        self.dialect = dialect
        self.request_ids = _parsing.RequestIds()
        self.slow_client_timeout_s = (
            settings.slow_client_timeout_ms / clock.MS_PER_SECOND
        )
        self.port = settings.listen.port
        self.body_reader = _bodies.BodyReader(settings)
        self.server: _connections.Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening and set ``port``. Raises OSError."""
        self.server = _connections.Server(
            self.serve,
            self.request_ids,
            self.settings.listen.connections,
            self.dialect,
            self.owner.header_bytes,
        )
        self._listener = await asyncio.get_running_loop().create_server(
            self.server,
            self.settings.listen.host,
            self.settings.listen.port,
            backlog=LISTEN_BACKLOG,
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no new connections and close the idle ones."""
        if self._listener is not None:
            self._listener.close()
        self.server.close_idle()

    async def wait_until_idle(self) -> None:
        """Return once no request is in flight."""
        while self.server.busy:
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close all connections, including those with requests in flight."""
        self.stop_listening()
        await self.server.shutdown(HANDLER_SHUTDOWN_TIMEOUT_S)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        request_id = shown_id = self.request_ids.next()
        protocol = request.protocol
        self.server.busy.add(protocol)
        try:
            shown_id = (
                self.dialect.caller_request_id(request.headers) or shown_id
            )
            response = await self._answer(request, request_id, shown_id)
        except errors.BerylhollowError as error:
            self.owner.request_refused(error.kind)
            response = self._refusal_response(error, shown_id)
        finally:
            self.server.busy.discard(protocol)
        if self.owner.stopping and not response.prepared:
            response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, request_id: str, shown_id: str
    ) -> web.StreamResponse:
        draft = self.dialect.parse_head(request, self.settings.deadline_ms)
        if draft is None:
            path = _parsing.origin_form(request.raw_path)
            return await self._page_response(request, path.partition('?')[0])
        self._refuse_by_head(draft.head, shown_id)
        begun_ms = self.owner.now_ms()
        body = await self.body_reader.read(request)
        try:
            accepted = draft.build(request_id, body)
            return await self._run_exchange(
                request, accepted, shown_id, begun_ms
            )
        finally:
            self.body_reader.release(len(body))

    def _refuse_by_head(
        self, head: events.RequestHead | None, shown_id: str
    ) -> None:
        if head is None:
            return
        refusal = self.owner.head_refusal(head, shown_id)
        if refusal is not None:
            raise errors.BerylhollowError(
                refusal.kind, retry_after_ms=refusal.retry_after_ms
            )

    async def _page_response(
        self, request: web.BaseRequest, path: str
    ) -> web.StreamResponse:
        response = await self.owner.gateway_page(path)
        if response is None:
            raise errors.BerylhollowError(errors.Kind.NOT_FOUND)
        _dialect.check_method(request, READ_METHODS)
        return response

    async def _run_exchange(
        self,
        request: web.BaseRequest,
        accepted: events.Request,
        shown_id: str,
        begun_ms: int,
    ) -> web.StreamResponse:
        """Hand a request to the reducer and write its answer."""
        exchange = _exchange.Exchange(
            accepted,
            shown_id,
            begun_ms,
            self.owner.now_ms(),
            asyncio.get_running_loop(),
        )
        try:
            self.owner.request_arrived(exchange)
            return await self._respond(request, exchange)
        except (ConnectionError, _responding.StalledError):
            self._cancel_exchange(exchange)
            _responding.abort_connection(request)
            raise ConnectionResetError(
                'the caller disconnected or stalled'
            ) from None
        except asyncio.CancelledError:
            self._cancel_exchange(exchange)
            raise
        except Exception:
            LOG.exception('answer failed', extra={'request_id': shown_id})
            self._fail_exchange(request, exchange)
            raise errors.BerylhollowError(errors.Kind.INTERNAL) from None
        finally:
            self.owner.forget_exchange(exchange)

    def _cancel_exchange(self, exchange: _exchange.Exchange) -> None:
        exchange.record_failure(errors.Kind.CANCELLED, errors.Ran.UNKNOWN)
        self.owner.caller_gone(exchange)

    def _fail_exchange(
        self, request: web.BaseRequest, exchange: _exchange.Exchange
    ) -> None:
        """End an exchange after an unexpected exception.

        If a head was begun, the connection may be set up for a body that an
        error response does not have: it is aborted.
        """
        exchange.record_failure(errors.Kind.INTERNAL, errors.Ran.UNKNOWN)
        self.owner.caller_gone(exchange)
        if exchange.relay is not None:
            _responding.abort_connection(request)

    async def _respond(
        self, request: web.BaseRequest, exchange: _exchange.Exchange
    ) -> web.StreamResponse:
        answer_start = await exchange.answer_start
        if not isinstance(answer_start, effects.BeginAnswer):
            return _responding.complete_response(
                exchange, answer_start, self.dialect
            )
        answer = _responding.RelayedAnswer(
            request,
            exchange,
            exchange.relay,
            self.owner,
            self.dialect,
            self.slow_client_timeout_s,
            self.owner.stopping,
        )
        return await answer.write()

    def _refusal_response(
        self, error: errors.BerylhollowError, shown_id: str
    ) -> web.Response:
        kind = error.kind
        overloaded = kind is errors.Kind.OVERLOADED
        retry_after_ms = error.retry_after_ms
        if overloaded:
            retry_after_ms = _connections.RETRY_AFTER_MS
        response = self.dialect.error_response(
            kind, error.answer.ran, shown_id, retry_after_ms, str(error)
        )
        if isinstance(error, _dialect.MethodNotAllowedError):
            response.headers['Allow'] = ', '.join(sorted(error.allowed))
        if kind in CONNECTION_CLOSING_KINDS:
            response.force_close()
        return response
