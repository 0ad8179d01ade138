"""A plain HTTP service that echoes its calls and records them."""

import asyncio
import collections
import dataclasses
import enum
import hashlib

from aiohttp import web

from berylhollow import clock
from berylhollow.standin import _http
from berylhollow.standin import faults

MAX_CALLS = 20_000
REQUEST_HEADER = 'X-Request-Id'
KEY_HEADER = 'Idempotency-Key'
SLOW_FACTOR = 10
POLL_S = 0.02


class CallOutcome(enum.StrEnum):
    """How a call ended."""

    RUNNING = 'running'
    FINISHED = 'finished'
    BROKEN = 'broken'


@dataclasses.dataclass
class Call:
    """The service's record of a call that it began to run."""

    request: str
    key: str
    method: str
    path: str
    body_digest: str
    outcome: CallOutcome = CallOutcome.RUNNING


class ServiceServer:
    """The routes of one plain service."""

    def __init__(self, instance: str, work_ms: int):
        self.instance = instance
        self.work_ms = work_ms
        self.faults = faults.FaultSwitches()
        self.clock = clock.MonotonicClock()
        self.calls: collections.deque[Call] = collections.deque(
            maxlen=MAX_CALLS
        )

    def add_to(self, application: web.Application) -> None:
        router = application.router
        router.add_get('/stand-in/runs', self.runs)
        router.add_post(
            '/faults',
            _http.fault_handler(
                self.faults, faults.ServiceFault, self.clock.now_ms
            ),
        )
        router.add_route('*', '/{path:.*}', self.serve)

    def has_fault(self, fault: faults.ServiceFault) -> bool:
        return self.faults.active(fault, self.clock.now_ms())

    async def runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {'runs': [dataclasses.asdict(call) for call in self.calls]}
        )

    async def serve(self, request: web.Request) -> web.Response:
        """Run a call under the active faults and echo it."""
        body = await request.read()
        while self.has_fault(faults.ServiceFault.HANG):
            await asyncio.sleep(POLL_S)
        if self.has_fault(faults.ServiceFault.CRASH):
            return _http.reset_connection(request)
        if self.has_fault(faults.ServiceFault.RESET_BEFORE_RUN):
            return _http.reset_connection(request)
        call = Call(
            request.headers.get(REQUEST_HEADER, ''),
            request.headers.get(KEY_HEADER, ''),
            request.method,
            request.path_qs,
            hashlib.sha256(body).hexdigest(),
        )
        self.calls.append(call)
        # A call that began runs to its end even if its caller disconnects.
        await asyncio.shield(asyncio.ensure_future(self.run_call(call)))
        if call.outcome == CallOutcome.BROKEN:
            return _http.reset_connection(request)
        if self.has_fault(faults.ServiceFault.RESET_AFTER_RUN):
            return _http.reset_connection(request)
        return web.json_response(
            {
                'service_instance': self.instance,
                'request': call.request,
                'key': call.key,
                'method': call.method,
                'path': call.path,
                'body_digest': call.body_digest,
            }
        )

    async def run_call(self, call: Call) -> None:
        work_ms = self.work_ms
        if self.has_fault(faults.ServiceFault.SLOW):
            work_ms *= SLOW_FACTOR
        await asyncio.sleep(work_ms / _http.MS_PER_SECOND)
        crashed = self.has_fault(faults.ServiceFault.CRASH)
        call.outcome = CallOutcome.BROKEN if crashed else CallOutcome.FINISHED


def make_application(settings) -> web.Application:
    """Return the application for a ``settings.ServiceSettings``."""
    application = _http.make_application()
    ServiceServer(settings.instance, settings.work_ms).add_to(application)
    return application
