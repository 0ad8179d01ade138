"""The engine model over HTTP."""

import asyncio
import itertools

from aiohttp import web

from berylhollow import clock
from berylhollow import endpoint
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.standin import _http
from berylhollow.standin import completions
from berylhollow.standin import engine
from berylhollow.standin import engine_types
from berylhollow.standin import failures
from berylhollow.standin import faults
from berylhollow.standin import weight_client

REQUEST_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'
ADAPTER_HEADER = 'X-Engine-Adapter'
EPOCH_HEADER = 'X-Engine-Epoch'
POLL_S = 0.02
FORWARDED_STATUSES = frozenset({404, 429})


class EngineServer:
    """The routes of one engine and the timer that drives its model."""

    def __init__(self, model: engine.EngineModel, platform_url: str):
        self.model = model
        self.platform_url = platform_url
        self.weights: weight_client.WeightClient | None = None
        self.clock = clock.MonotonicClock()
        self.timer = _http.Timer(self.clock.now_ms, self.advance)
        self.outputs: dict[int, asyncio.Queue] = {}
        self.loads: set[asyncio.Task] = set()
        self.unnamed_numbers = itertools.count()

    def add_to(self, application: web.Application) -> None:
        router = application.router
        router.add_get('/engine/status', self.status)
        router.add_post('/engine/load', self.load)
        router.add_post('/engine/unload', self.unload)
        router.add_post('/engine/cancel', self.cancel)
        router.add_get('/engine/events', self.events)
        router.add_get('/engine/runs', self.runs)
        router.add_post('/v1/chat/completions', self.chat)
        router.add_post('/v1/completions', self.complete)
        router.add_post('/faults', self.fault)
        application.cleanup_ctx.append(self.weight_client_context)

    async def weight_client_context(self, application: web.Application):
        """Keep a weight store client open while the application runs."""
        self.weights = weight_client.WeightClient(self.platform_url)
        yield
        await self.weights.close()

    def advance(self) -> None:
        """Deliver the model's outputs and schedule the next call."""
        for output in self.model.advance(self.clock.now_ms()):
            queue = self.outputs.get(output.ticket)
            if queue is not None:
                queue.put_nowait(output)
        self.timer.set(self.model.next_event_ms())

    async def is_up_after_hang(self, request: web.Request) -> bool:
        """Wait while the engine hangs, then return whether it is up.

        A process that is down sends nothing, not even an error.
        """
        hang = faults.EngineFault.HANG
        while self.model.faults.active(hang, self.clock.now_ms()):
            await asyncio.sleep(POLL_S)
        try:
            self.model.check_available(self.clock.now_ms())
        except failures.Unavailable:
            return False
        return True

    # Control

    async def status(self, request: web.Request) -> web.Response:
        if not await self.is_up_after_hang(request):
            return _http.reset_connection(request)
        status = self.model.status(self.clock.now_ms())
        return web.json_response(_status_value(status))

    async def load(self, request: web.Request) -> web.Response:
        if not await self.is_up_after_hang(request):
            return _http.reset_connection(request)
        value = await request.json()
        adapter = messages.AdapterVersion(value['adapter'], value['version'])
        order = _order(value, adapter)
        self.model.begin_load(order, self.clock.now_ms())
        # The load continues if the client disconnects: if it were cancelled
        # with its handler, the slot would stay in the loading state forever.
        task = asyncio.create_task(self.run_load(order))
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)
        answer = await asyncio.shield(task)
        lost = faults.EngineFault.LOAD_ANSWER_LOST
        if self.model.faults.active(lost, self.clock.now_ms()):
            return _http.reset_connection(request)
        return answer

    async def run_load(self, order: endpoint.SlotOrder) -> web.Response:
        failed = await self.fetch(order.adapter)
        fails = faults.EngineFault.LOAD_FAILS
        if self.model.faults.active(fails, self.clock.now_ms()):
            failed = _http.error_response('load_failed', 503)
        ready = self.model.finish_load(
            order.order, failed is None, self.clock.now_ms()
        )
        if order.epoch != self.model.epoch:
            return _http.error_response('wrong_epoch', 409)
        if failed is not None:
            return failed
        if not ready:
            return _http.error_response('superseded', 409)
        return web.json_response({'epoch': order.epoch, 'slot': order.slot})

    async def fetch(
        self, adapter: messages.AdapterVersion
    ) -> web.Response | None:
        """Fetch weights; return the error response if that fails."""
        try:
            await self.weights.load(adapter)
        except outgoing.CallRefused as refused:
            if refused.status in FORWARDED_STATUSES:
                return _http.error_response(refused.kind, refused.status)
            return _http.error_response('weights_unavailable', 503)
        except outgoing.CallError:
            return _http.error_response('weights_unavailable', 503)
        return None

    async def unload(self, request: web.Request) -> web.Response:
        if not await self.is_up_after_hang(request):
            return _http.reset_connection(request)
        order = _order(await request.json(), None)
        self.model.unload(order, self.clock.now_ms())
        return web.json_response({'epoch': order.epoch, 'slot': order.slot})

    async def cancel(self, request: web.Request) -> web.Response:
        if not await self.is_up_after_hang(request):
            return _http.reset_connection(request)
        value = await request.json()
        cancelled = self.model.cancel(value['request'], self.clock.now_ms())
        self.advance()
        return web.json_response({'cancelled': cancelled})

    async def events(self, request: web.Request) -> web.Response:
        if not await self.is_up_after_hang(request):
            return _http.reset_connection(request)
        after = int(request.query.get('after', '0'))
        events = self.model.events(after, self.clock.now_ms())
        return web.json_response({'events': [_event_value(x) for x in events]})

    async def runs(self, request: web.Request) -> web.Response:
        runs = [_run_value(run) for run in self.model.runs()]
        return web.json_response({'runs': runs})

    async def fault(self, request: web.Request) -> web.Response:
        fault, for_ms = await _http.read_fault(request, faults.EngineFault)
        now_ms = self.clock.now_ms()
        self.advance()
        if fault == faults.EngineFault.CRASH:
            self.model.crash(now_ms)
        elif fault == faults.EngineFault.RESTART:
            self.model.crash(now_ms, down_ms=0)
        else:
            self.model.faults.start(fault, now_ms, for_ms)
        self.advance()
        return web.json_response({'fault': fault})

    # Completions

    async def chat(self, request: web.Request) -> web.StreamResponse:
        return await self.generate(request, chat=True)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        return await self.generate(request, chat=False)

    async def generate(
        self, request: web.Request, chat: bool
    ) -> web.StreamResponse:
        body = await request.read()
        if not await self.is_up_after_hang(request):
            return _http.reset_connection(request)
        request_id = request.headers.get(REQUEST_HEADER)
        completion = completions.parse(
            body,
            chat,
            request_id or f'unnamed-{next(self.unnamed_numbers)}',
            int(request.headers.get(PRIORITY_HEADER, '0')),
        )
        now_ms = self.clock.now_ms()
        ticket = self.model.submit(completion.request, now_ms)
        queue: asyncio.Queue = asyncio.Queue()
        self.outputs[ticket] = queue
        self.advance()
        try:
            if completion.stream:
                return await self.respond_streaming(request, completion, queue)
            return await self.respond_whole(request, completion, queue)
        finally:
            del self.outputs[ticket]
            self.model.abandon(ticket, self.clock.now_ms())

    async def respond_streaming(
        self,
        request: web.Request,
        completion: completions.Completion,
        queue: asyncio.Queue,
    ) -> web.StreamResponse:
        """Stream one chunk per token, starting at the first token."""
        writer = completions.ResponseWriter(completion)
        response: web.StreamResponse | None = None
        while True:
            outputs = await _next_outputs(queue)
            if isinstance(outputs[-1], engine_types.Broken):
                return _http.reset_connection(request)
            if response is None:
                response = web.StreamResponse(
                    headers=self.headers(outputs[0].adapter)
                )
                response.content_type = 'text/event-stream'
                await response.prepare(request)
                await response.write(writer.first_chunk())
            await response.write(b''.join(_chunks(writer, outputs)))
            if isinstance(outputs[-1], engine_types.Finished):
                await response.write_eof()
                return response

    async def respond_whole(
        self,
        request: web.Request,
        completion: completions.Completion,
        queue: asyncio.Queue,
    ) -> web.StreamResponse:
        """Respond unstreamed; the adapter is that of the last token."""
        writer = completions.ResponseWriter(completion)
        while True:
            for output in await _next_outputs(queue):
                if isinstance(output, engine_types.Broken):
                    return _http.reset_connection(request)
                if isinstance(output, engine_types.Finished):
                    return web.json_response(
                        writer.answer(output),
                        headers=self.headers(output.adapter),
                    )
                writer.text(output)

    def headers(self, adapter: messages.AdapterVersion) -> dict[str, str]:
        return {ADAPTER_HEADER: str(adapter), EPOCH_HEADER: self.model.epoch}


async def _next_outputs(queue: asyncio.Queue) -> list[engine_types.Output]:
    """Wait for an output; return all that are queued."""
    outputs = [await queue.get()]
    while not queue.empty():
        outputs.append(queue.get_nowait())
    return outputs


def _chunks(writer: completions.ResponseWriter, outputs: list):
    for output in outputs:
        if isinstance(output, engine_types.Finished):
            yield writer.last_chunks(output)
        else:
            yield writer.token_chunk(output)


def _order(
    value: dict, adapter: messages.AdapterVersion | None
) -> endpoint.SlotOrder:
    return endpoint.SlotOrder(
        order=str(value['order']),
        slot=int(value['slot']),
        fence=int(value['fence']),
        epoch=str(value['epoch']),
        adapter=adapter,
    )


def _status_value(status: endpoint.EngineStatus) -> dict:
    return {
        'epoch': status.epoch,
        'base_model': status.base_model,
        'slot_count': len(status.slots),
        'batch_limit': status.batch_limit,
        'slots': [_slot_value(slot) for slot in status.slots],
        'running': status.running,
        'waiting': status.waiting,
        'highest_fence': status.highest_fence,
    }


def _slot_value(slot: endpoint.Slot) -> dict:
    adapter = slot.adapter
    return {
        'slot': slot.slot,
        'adapter': adapter.adapter if adapter else None,
        'version': adapter.version if adapter else None,
        'state': slot.state,
    }


def _event_value(event: endpoint.CacheEvent) -> dict:
    return {
        'sequence': event.sequence,
        'at_ms': event.at_ms,
        'change': event.change,
        'adapter': event.adapter.adapter,
        'version': event.adapter.version,
        'prefix': event.prefix,
        'tokens': event.tokens,
    }


def _run_value(run: engine_types.Run) -> dict:
    return {
        'request': run.request,
        'wanted': str(run.wanted),
        'ran': [str(adapter) for adapter in run.ran],
        'wrong_adapter': run.wrong_adapter,
        'epoch': run.epoch,
        'outcome': run.outcome,
        'tokens': run.tokens,
    }


def make_application(settings) -> web.Application:
    """Return the application for a ``settings.EngineSettings``."""
    limits = engine_types.EngineLimits(
        slot_count=settings.slots,
        batch_limit=settings.batch_limit,
        step_ms=settings.token_ms,
        prefill_ms=settings.prefill_ms_per_1000_tokens / 1000,
        status_lag_ms=settings.status_lag_ms,
        checks_fencing=settings.checks_fencing,
    )
    # The start time keeps epochs unique across restarts of the process.
    name = f'{settings.instance}-{_http.wall_ms()}'
    server = EngineServer(
        engine.EngineModel(name, limits), settings.platform.url
    )
    application = _http.make_application()
    server.add_to(application)
    return application
