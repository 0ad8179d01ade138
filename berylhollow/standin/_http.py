"""Timers, responses and startup shared by the HTTP stand-ins."""

import asyncio
import collections.abc
import contextlib
import math
import time

from aiohttp import web

from berylhollow.standin import failures
from berylhollow.standin import faults

MS_PER_SECOND = 1000
SHUTDOWN_S = 60.0
MAX_BODY_BYTES = 16 * 1024 * 1024
STATUS_BY_FAILURE = {
    failures.Unavailable: 503,
    failures.RateLimited: 429,
    failures.OffsetGone: 410,
    failures.UnknownAdapter: 404,
    failures.StaleFence: 409,
    failures.WrongEpoch: 409,
    failures.UnknownSlot: 404,
    failures.AdapterNotLoaded: 404,
}


def wall_ms() -> int:
    """Return the wall-clock time, which dates the platform's records."""
    return time.time_ns() // 1_000_000


class Timer:
    """Calls ``callback`` at a given time, when a model's next event is due."""

    def __init__(
        self,
        now_ms: collections.abc.Callable[[], int],
        callback: collections.abc.Callable[[], None],
    ):
        self.now_ms = now_ms
        self.callback = callback
        self.handle: asyncio.TimerHandle | None = None

    def set(self, at_ms: float) -> None:
        """Replace the time of the next call; infinity cancels it."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        if at_ms == math.inf:
            return
        wait_s = max(0, at_ms - self.now_ms()) / MS_PER_SECOND
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(wait_s, self.callback)


def error_response(code: str, status: int, **detail) -> web.Response:
    """Return a JSON error response with a code and details."""
    return web.json_response({'error': code, **detail}, status=status)


def failure_response(failure: failures.StandInError) -> web.Response:
    """Return the error response for a model's failure."""
    detail = {'message': str(failure)}
    if isinstance(failure, failures.OffsetGone):
        detail['first_offset'] = failure.first_offset
    return error_response(
        failure.code, STATUS_BY_FAILURE[type(failure)], **detail
    )


def reset_connection(request: web.Request) -> web.Response:
    """Abort the connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@web.middleware
async def convert_failures(
    request: web.Request, handler
) -> web.StreamResponse:
    """Convert failures of the models and bad requests into responses."""
    try:
        return await handler(request)
    except failures.AnswerLost:
        return reset_connection(request)
    except failures.StandInError as failure:
        return failure_response(failure)
    except (KeyError, TypeError, ValueError) as error:
        return error_response('bad_request', 400, message=repr(error))


async def healthz(request: web.Request) -> web.Response:
    """Report that the process is up."""
    return web.json_response({'status': 'ok'})


async def read_fault(request: web.Request, kinds) -> tuple[str, float]:
    """Return the fault that a call requests and its duration."""
    value = await request.json()
    for_ms = value.get('for_ms')
    return kinds(value['fault']), math.inf if for_ms is None else for_ms


def fault_handler(
    switches: faults.FaultSwitches,
    kinds,
    now_ms: collections.abc.Callable[[], int],
):
    """Return the handler of ``POST /faults``; ``for_ms`` 0 ends a fault."""

    async def handle(request: web.Request) -> web.Response:
        fault, for_ms = await read_fault(request, kinds)
        switches.start(fault, now_ms(), for_ms)
        return web.json_response({'fault': fault})

    return handle


def make_application() -> web.Application:
    """Return an application with the parts common to all stand-ins."""
    application = web.Application(
        middlewares=(convert_failures,), client_max_size=MAX_BODY_BYTES
    )
    application.router.add_get('/healthz', healthz)
    return application


@contextlib.asynccontextmanager
async def listening(application: web.Application, host: str, port: int):
    """Serve within the context and yield the port; 0 picks a free one.

    A client that disconnects cancels its handler, as in real engines.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_S,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port, reuse_address=True)
        await site.start()
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()
