"""A stand-in for an endpoint that takes requests and orders directly."""

import asyncio
import collections.abc
import dataclasses

from aiohttp import web
import multidict

from berylhollow import clock
from berylhollow.standin import endpoint_model

NOT_EXECUTED_HEADERS = {'Not-Executed': '1'}


@dataclasses.dataclass
class Ran:
    """A request that the endpoint began to run.

    ``version`` is the version of its adapter that was held at ``begun_ms``,
    None for a request without an adapter.
    """

    request_id: str
    path: str
    adapter: str
    body: bytes
    headers: multidict.CIMultiDictProxy[str]
    version: int | None
    begun_ms: int


@dataclasses.dataclass
class Faults:
    """Faults of the endpoint that a test switches on.

    ``full`` refuses requests, ``fails`` answers 500 after running,
    ``cuts`` aborts the response after its first event, ``other_id`` returns
    another request's ID, ``hangs`` never answers, ``unsigned`` omits the
    ``Server-Seal`` header. ``rate_limits``, ``leaving`` and ``pauses`` are
    the values of ``Server-Limit``, ``Server-Leaving`` and ``Retry-After``,
    which every response carries.
    """

    full: bool = False
    fails: bool = False
    cuts: bool = False
    other_id: bool = False
    hangs: bool = False
    unsigned: bool = False
    rate_limits: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    pauses: tuple[str, ...] = ()


async def no_time() -> None:
    """Return at once: the default length of a run."""


class DirectEndpoint:
    """Serves a model of an endpoint over HTTP.

    ``gone`` lists the IDs of requests whose connection broke during the
    response. ``run_time`` is awaited between the events of a response and its
    end.
    """

    def __init__(
        self,
        instance: str,
        slots: int | None = None,
        places: int = 0,
        time: clock.Clock | None = None,
    ):
        self.instance = instance
        self.model = endpoint_model.EndpointModel(slots, places)
        self.time = time or clock.MonotonicClock()
        self.run_time: collections.abc.Callable[
            [], collections.abc.Awaitable[object]
        ] = no_time
        self.ran: list[Ran] = []
        self.gone: list[str] = []
        self.events = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')
        self.faults = Faults()

    def restart(self, instance: str) -> None:
        """Restart as a new incarnation with nothing loaded."""
        self.instance = instance
        self.model.clear()

    @property
    def models(self) -> dict[str, dict[str, int]]:
        """The versions of the adapters that are held, by model."""
        return self.model.models

    @models.setter
    def models(self, models: dict[str, dict[str, int]]) -> None:
        self.model.models = models

    @property
    def newest(self) -> dict[str, int]:
        """The versions that a load fetches, 1 for adapters not in it."""
        return self.model.newest

    def add_to(self, application: web.Application) -> None:
        """Add the routes; any other path is treated as a request."""
        application.on_response_prepare.append(self._add_notices)
        router = application.router
        router.add_get('/v1/report', self._report)
        router.add_get('/healthz', self._health)
        router.add_post('/v1/order', self._order)
        router.add_route('*', '/{tail:.*}', self._request)

    async def _add_notices(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        for name, value in self._notices():
            response.headers.add(name, value)

    def _notices(self) -> list[tuple[str, str]]:
        """Return the headers that every response carries."""
        values = {
            'Server-Limit': self.faults.rate_limits,
            'Server-Leaving': self.faults.leaving,
            'Retry-After': self.faults.pauses,
        }
        return [(name, value) for name in values for value in values[name]]

    def _description(self) -> list[dict]:
        return [
            {
                'Name': model,
                'Version': 1,
                'Adapters': [f'{a}@{v}' for a, v in held.items()],
            }
            for model, held in self.models.items()
        ]

    async def _health(self, request: web.Request) -> web.Response:
        headers = {'Instance-Id': self.instance}
        if request.headers.get('Expect-Instance') != self.instance:
            return web.Response(status=421, headers=headers)
        return web.Response(headers=headers)

    async def _report(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'Stage': 'both',
                'Models': self._description(),
                'Busy': False,
                'Seq': self.model.orders,
                'Queued': len(self.model.waiting),
                'Active': len(self.model.running),
                'Pending': self.model.loading,
                'KvUsed': 0,
                'KvTotal': 100,
                'Handles': 0,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        if request.headers.get('Expect-Instance') != self.instance:
            return web.Response(status=421)
        order = await request.json()
        status = self.model.order(
            order['Opcode'],
            order['Model'],
            order.get('Adapter'),
            order.get('Precondition'),
        )
        return web.Response(status=status)

    async def _request(self, request: web.Request) -> web.StreamResponse:
        headers = {'Request-Id': request.headers.get('Request-Id', '')}
        if request.headers.get('Expect-Instance') != self.instance:
            headers['Instance-Id'] = self.instance
            return web.Response(status=421, headers=headers)
        if self.faults.full:
            return web.Response(
                status=503, headers=headers | NOT_EXECUTED_HEADERS
            )
        model, _, adapter = request.headers.get('Model', '').partition('/')
        expected = request.headers.get('Expect-Version')
        try:
            async with self.model.slot(model, adapter, expected) as version:
                begun_ms = self.time.now_ms()
                self.ran.append(
                    Ran(
                        headers['Request-Id'],
                        request.raw_path,
                        adapter,
                        await request.read(),
                        request.headers,
                        version,
                        begun_ms,
                    )
                )
                return await self._answer(request, headers)
        except endpoint_model.NotRunError as error:
            return web.Response(
                status=error.status, headers=headers | NOT_EXECUTED_HEADERS
            )

    async def _answer(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        if self.faults.other_id:
            headers['Request-Id'] = 'another'
        if not self.faults.unsigned:
            headers['Server-Seal'] = f'seal-of-{self.instance}'
        if self.faults.fails:
            return web.Response(status=500, headers=headers)
        headers['Content-Type'] = 'text/event-stream'
        response = web.StreamResponse(headers=headers)
        try:
            await self._stream(request, response)
        except (ConnectionError, asyncio.CancelledError):
            self.gone.append(headers['Request-Id'])
            raise
        return response

    async def _stream(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.faults.hangs:
            await asyncio.Event().wait()
        await response.prepare(request)
        for event in self.events:
            await response.write(event)
            if self.faults.cuts:
                request.transport.abort()
                raise ConnectionResetError
        await self.run_time()
        await response.write_eof()
