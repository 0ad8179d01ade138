"""The gateway's HTTP front end: take callers' requests, answer each one."""

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
from berylhollow.gateway import _responding
from berylhollow.gateway import _workspaces
from berylhollow import settings as all_settings

LOG = logging.getLogger(__name__)

IDLE_CHECK_S = 0.01
CLOSE_S = 0.1
"""How long handlers may take to end when everything is closed."""

BACKLOG = 1024
CLOSING_KINDS = _responding.ELSEWHERE_KINDS | {
    errors.Kind.CALLER_TOO_SLOW,
    errors.Kind.OVERLOADED,
}
READ_METHODS = frozenset({'GET', 'HEAD'})


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
        """A request was refused before it was taken."""

    def refused_by_head(
        self, head: events.RequestHead, shown_id: str
    ) -> _workspaces.Refusal | None:
        """Return why a request will be refused, before its body is read."""

    async def page(self, path: str) -> web.Response | None:
        """Return a page of the gateway itself, None for an unknown path."""


class FrontEnd:
    """Listen for callers and see every request to its answer."""

    def __init__(
        self,
        settings: all_settings.GatewaySettings,
        owner: Owner,
        dialect: _dialect.Dialect,
    ):
        self.settings = settings
        self.owner = owner
        self.dialect = dialect
        self.ids = _parsing.RequestIds()
        self.slow_timeout = (
            settings.slow_client_timeout_ms / clock.MS_PER_SECOND
        )
        self.port = settings.listen.port
        self.bodies = _bodies.Bodies(settings)
        self.server: _connections.Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; ``port`` then is the real one. Raises OSError."""
        self.server = _connections.Server(
            self.serve,
            self.ids,
            self.settings.listen.connections,
            self.dialect,
        )
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
        self.server.close_idle()

    async def idle(self) -> None:
        """Return once no request is in flight."""
        while self.server.busy:
            await asyncio.sleep(IDLE_CHECK_S)

    async def close(self) -> None:
        """Close everything; what is still in flight is cut off."""
        self.stop_listening()
        await self.server.shutdown(CLOSE_S)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        request_id = shown_id = self.ids.next()
        protocol = request.protocol
        self.server.busy.add(protocol)
        try:
            shown_id = self.dialect.echoed_id(request.headers) or shown_id
            response = await self._answer(request, request_id, shown_id)
        except errors.BerylhollowError as error:
            self.owner.refused(error.kind)
            response = self._refusal(error, shown_id)
        finally:
            self.server.busy.discard(protocol)
        if self.owner.stopping and not response.prepared:
            response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, request_id: str, shown_id: str
    ) -> web.StreamResponse:
        draft = self.dialect.accept(request, self.settings.deadline_ms)
        if draft is None:
            path = _parsing.origin_form(request.raw_path)
            return await self._page(request, path.partition('?')[0])
        self._check_head(draft.head, shown_id)
        body = await self.bodies.read(request)
        try:
            taken = draft.build(request_id, body)
            return await self._see_through(request, taken, shown_id)
        finally:
            self.bodies.release(len(body))

    def _check_head(
        self, head: events.RequestHead | None, shown_id: str
    ) -> None:
        if head is None:
            return
        refusal = self.owner.refused_by_head(head, shown_id)
        if refusal is not None:
            raise errors.BerylhollowError(
                refusal.kind, retry_after_ms=refusal.retry_after_ms
            )

    async def _page(
        self, request: web.BaseRequest, path: str
    ) -> web.StreamResponse:
        response = await self.owner.page(path)
        if response is None:
            raise errors.BerylhollowError(errors.Kind.NOT_FOUND)
        _dialect.check_method(request, READ_METHODS)
        return response

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
        except Exception:
            LOG.exception('answer failed', extra={'request_id': shown_id})
            self._fail(request, exchange)
            raise errors.BerylhollowError(errors.Kind.INTERNAL) from None
        finally:
            self.owner.forget(exchange)

    def _leave(self, exchange: _exchange.Exchange) -> None:
        exchange.failed(errors.Kind.CANCELLED, errors.Ran.UNKNOWN)
        self.owner.gone(exchange)

    def _fail(
        self, request: web.BaseRequest, exchange: _exchange.Exchange
    ) -> None:
        """End an exchange whose answer met a defect.

        A head that was begun may have set the connection up for a body that
        an error's answer does not have: the connection is cut.
        """
        exchange.failed(errors.Kind.INTERNAL, errors.Ran.UNKNOWN)
        self.owner.gone(exchange)
        if exchange.relay is not None:
            _responding.abort(request)

    async def _respond(
        self, request: web.BaseRequest, exchange: _exchange.Exchange
    ) -> web.StreamResponse:
        beginning = await exchange.beginning
        if not isinstance(beginning, effects.BeginAnswer):
            return _responding.whole_answer(exchange, beginning, self.dialect)
        answer = _responding.RelayedAnswer(
            request,
            exchange,
            exchange.relay,
            self.owner,
            self.dialect,
            self.slow_timeout,
            self.owner.stopping,
        )
        return await answer.write()

    def _refusal(
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
        if kind in CLOSING_KINDS:
            response.force_close()
        return response
