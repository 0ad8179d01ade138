"""The platform over HTTP: log service, instance list and weight store."""

import asyncio
import base64
import hashlib
import itertools
import json

from aiohttp import web

from berylhollow import log_service
from berylhollow import messages
from berylhollow.standin import _http
from berylhollow.standin import faults
from berylhollow.standin import instances
from berylhollow.standin import log
from berylhollow.standin import weights

MAX_READ_RECORDS = 10_000
MAX_WAIT_MS = 60_000
ETAG_BYTES = 8


class LogRoutes:
    """Routes of the log service."""

    def __init__(self, model: log.LogModel):
        self.model = model
        self.appended: dict[str, asyncio.Event] = {}
        self.stopping = False

    def add_to(self, application: web.Application) -> None:
        application.on_shutdown.append(self.end_waits)
        path = '/log/streams/{stream}/records'
        application.router.add_post(path, self.append)
        application.router.add_get(path, self.read)

    async def append(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self.delay()
        stream = request.match_info['stream']
        try:
            offset = self.model.append(stream, data, _http.wall_ms())
        finally:
            self.wake_readers(stream)
        return web.json_response({'offset': offset}, status=201)

    async def read(self, request: web.Request) -> web.Response:
        stream = request.match_info['stream']
        from_offset = int(request.query.get('from', '0'))
        limit = min(int(request.query.get('limit', '1000')), MAX_READ_RECORDS)
        wait_ms = min(int(request.query.get('wait_ms', '0')), MAX_WAIT_MS)
        await self.delay()
        result = self.model.read(stream, from_offset, limit, _http.wall_ms())
        if not result.records and wait_ms > 0 and not self.stopping:
            await self.wait_for_append(stream, wait_ms)
            result = self.model.read(
                stream, from_offset, limit, _http.wall_ms()
            )
        return web.json_response(_read_value(result))

    async def delay(self) -> None:
        delay_ms = self.model.delay_ms(_http.wall_ms())
        if delay_ms:
            await asyncio.sleep(delay_ms / _http.MS_PER_SECOND)

    async def wait_for_append(self, stream: str, wait_ms: int) -> None:
        """Wait until an append to the stream or the timeout."""
        event = self.appended.setdefault(stream, asyncio.Event())
        try:
            async with asyncio.timeout(wait_ms / _http.MS_PER_SECOND):
                await event.wait()
        except TimeoutError:
            return

    async def end_waits(self, application: web.Application) -> None:
        """End all waiting reads, so that shutdown does not wait for them."""
        self.stopping = True
        for stream in list(self.appended):
            self.wake_readers(stream)

    def wake_readers(self, stream: str) -> None:
        event = self.appended.pop(stream, None)
        if event is not None:
            event.set()


def _read_value(result: log_service.ReadResult) -> dict:
    records = [
        {
            'offset': record.offset,
            'at_ms': record.at_ms,
            'data': base64.b64encode(record.data).decode('ascii'),
        }
        for record in result.records
    ]
    return {
        'first_offset': result.first_offset,
        'next_offset': result.next_offset,
        'records': records,
    }


class InstanceRoutes:
    """Routes of the instance list."""

    def __init__(self, model: instances.InstanceListModel):
        self.model = model

    def add_to(self, application: web.Application) -> None:
        application.router.add_get('/instances', self.list)
        application.router.add_put('/instances/{instance}', self.put)
        application.router.add_delete('/instances/{instance}', self.delete)

    async def list(self, request: web.Request) -> web.Response:
        entries = self.model.visible(_http.wall_ms())
        body = json.dumps(
            {'instances': [log_service.instance_value(x) for x in entries]}
        )
        tag = hashlib.blake2b(
            body.encode(), digest_size=ETAG_BYTES
        ).hexdigest()
        headers = {'ETag': f'"{tag}"'}
        if request.headers.get('If-None-Match') == headers['ETag']:
            return web.Response(status=304, headers=headers)
        return web.json_response(text=body, headers=headers)

    async def put(self, request: web.Request) -> web.Response:
        value = await request.json()
        value['instance'] = request.match_info['instance']
        self.model.put(log_service.parse_instance(value), _http.wall_ms())
        return web.Response(status=204)

    async def delete(self, request: web.Request) -> web.Response:
        self.model.delete(request.match_info['instance'], _http.wall_ms())
        return web.Response(status=204)


class WeightRoutes:
    """Routes of the weight store."""

    def __init__(self, model: weights.WeightStoreModel):
        self.model = model
        self.load_numbers = itertools.count()
        self.waiting: dict[str, asyncio.Future] = {}
        self.timer = _http.Timer(_http.wall_ms, self.advance)

    def add_to(self, application: web.Application) -> None:
        application.router.add_get('/weights/{adapter}/{version}', self.load)

    async def load(self, request: web.Request) -> web.Response:
        adapter = messages.AdapterVersion(
            request.match_info['adapter'], request.match_info['version']
        )
        load = str(next(self.load_numbers))
        self.model.start(load, adapter, _http.wall_ms())
        done = asyncio.get_running_loop().create_future()
        self.waiting[load] = done
        self.advance()
        try:
            loaded = await done
        finally:
            del self.waiting[load]
            self.model.cancel(load, _http.wall_ms())
            self.advance()
        if not loaded:
            return _http.error_response('load_failed', 503)
        return web.Response(text=str(adapter))

    def advance(self) -> None:
        """Answer the loads that have ended and schedule the next call."""
        for ended in self.model.advance(_http.wall_ms()):
            done = self.waiting.get(ended.load)
            if done is not None and not done.done():
                done.set_result(ended.loaded)
        self.timer.set(self.model.next_event_ms())


def make_application(settings) -> web.Application:
    """Return the application for a ``settings.PlatformSettings``."""
    switches = faults.FaultSwitches()
    log_limits = log.LogLimits(
        appends_per_s=settings.log.appends_per_s,
        burst=max(1, int(settings.log.appends_per_s)),
        retention_ms=settings.log.retention_ms,
    )
    weight_limits = weights.WeightLimits(
        loads_per_s=settings.weights.loads_per_s,
        burst=max(1, int(settings.weights.loads_per_s)),
        full_speed_ms=settings.weights.load_ms,
    )
    instance_list = instances.InstanceListModel(
        settings.instances.lag_ms, switches
    )
    weight_routes = WeightRoutes(
        weights.WeightStoreModel(weight_limits, switches)
    )
    application = _http.make_application()
    LogRoutes(log.LogModel(log_limits, switches)).add_to(application)
    InstanceRoutes(instance_list).add_to(application)
    weight_routes.add_to(application)
    set_fault = _http.fault_handler(
        switches, faults.PlatformFault, _http.wall_ms
    )

    async def start_fault(request: web.Request) -> web.Response:
        weight_routes.advance()
        answer = await set_fault(request)
        weight_routes.advance()
        return answer

    application.router.add_post('/faults', start_fault)
    return application
