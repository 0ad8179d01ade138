"""A stand-in for an endpoint that takes requests and orders directly."""

import asyncio
import dataclasses

from aiohttp import web
import multidict

NOT_EXECUTED_HEADERS = {'Not-Executed': '1'}


@dataclasses.dataclass
class Ran:
    """A request that the endpoint began to run."""

    request_id: str
    path: str
    adapter: str
    body: bytes
    headers: multidict.CIMultiDictProxy[str]


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


class DirectEndpoint:
    """Runs requests for its loaded adapters and executes orders at once.

    ``gone`` lists the IDs of requests whose connection broke during the
    response.
    """

    def __init__(self, instance: str, slots: int = 6):
        self.instance = instance
        self.slots = slots
        self.models: dict[str, dict[str, int]] = {}
        self.newest: dict[str, int] = {}
        self.orders = 0
        self.ran: list[Ran] = []
        self.gone: list[str] = []
        self.events = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')
        self.faults = Faults()

    def restart(self, instance: str) -> None:
        """Restart as a new incarnation with nothing loaded."""
        self.instance = instance
        self.models = {}
        self.orders = 0

    def add_to(self, application: web.Application) -> None:
        """Add the routes; any other path is treated as a request."""
        application.on_response_prepare.append(self._add_notices)
        router = application.router
        router.add_get('/v1/report', self._report)
        router.add_post('/v1/order', self._order)
        router.add_route('*', '/{tail:.*}', self._request)

    async def _add_notices(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        for value in self.faults.rate_limits:
            response.headers.add('Server-Limit', value)
        for value in self.faults.leaving:
            response.headers.add('Server-Leaving', value)
        for value in self.faults.pauses:
            response.headers.add('Retry-After', value)

    def _description(self) -> list[dict]:
        return [
            {
                'Name': model,
                'Version': 1,
                'Adapters': [f'{a}@{v}' for a, v in held.items()],
            }
            for model, held in self.models.items()
        ]

    async def _report(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'Stage': 'both',
                'Models': self._description(),
                'Busy': False,
                'Seq': self.orders,
                'Queued': 0,
                'Active': 0,
                'KvUsed': 0,
                'KvTotal': 100,
                'Handles': 0,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        if request.headers.get('Expect-Instance') != self.instance:
            return web.Response(status=421)
        order = await request.json()
        if order.get('Precondition', self.orders) != self.orders:
            return web.Response(status=409)
        model, adapter = order['Model'], order.get('Adapter')
        if adapter and model not in self.models:
            return web.Response(status=409)
        self.orders += 1
        if order['Opcode'] == 'unload':
            self.models[model].pop(adapter, None)
            return web.Response(status=200)
        held = self.models.setdefault(model, {})
        if adapter:
            held[adapter] = self.newest.get(adapter, 1)
        return web.Response(status=202)

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
        if adapter and not self._has_adapter(request, model, adapter):
            return web.Response(
                status=421, headers=headers | NOT_EXECUTED_HEADERS
            )
        self.ran.append(
            Ran(
                headers['Request-Id'],
                request.raw_path,
                adapter,
                await request.read(),
                request.headers,
            )
        )
        return await self._answer(request, headers)

    def _has_adapter(
        self, request: web.Request, model: str, adapter: str
    ) -> bool:
        version = self.models.get(model, {}).get(adapter)
        wanted = request.headers.get('Expect-Version', str(version))
        return version is not None and wanted == str(version)

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
        await response.write_eof()
