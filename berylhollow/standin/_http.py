"""What the HTTP stand-ins share."""

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
LARGEST_BODY = 16 * 1024 * 1024
STATUSES = {
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
    """Return the wall clock, which the platform's records carry."""
    return time.time_ns() // 1_000_000


class Alarm:
    """Call a model when its next event is due."""

    def __init__(
        self,
        now_ms: collections.abc.Callable[[], int],
        callback: collections.abc.Callable[[], None],
    ):
        self.now_ms = now_ms
        self.callback = callback
        self.handle: asyncio.TimerHandle | None = None

    def set(self, at_ms: float) -> None:
        """Call at this moment instead of the one set before."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        if at_ms == math.inf:
            return
        wait_s = max(0, at_ms - self.now_ms()) / MS_PER_SECOND
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(wait_s, self.callback)


def error_answer(code: str, status: int, **detail) -> web.Response:
    """Return an answer that refuses the call."""
    return web.json_response({'error': code, **detail}, status=status)


def failure_answer(failure: failures.StandInError) -> web.Response:
    """Return the answer of a model's failure."""
    detail = {'message': str(failure)}
    if isinstance(failure, failures.OffsetGone):
        detail['first_offset'] = failure.first_offset
    return error_answer(failure.code, STATUSES[type(failure)], **detail)


def reset(request: web.Request) -> web.Response:
    """Break the connection; the answer returned never leaves."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@web.middleware
async def answer_failures(request: web.Request, handler) -> web.StreamResponse:
    """Turn failures of the models into answers."""
    try:
        return await handler(request)
    except failures.AnswerLost:
        return reset(request)
    except failures.StandInError as failure:
        return failure_answer(failure)
    except (KeyError, TypeError, ValueError) as error:
        return error_answer('bad_request', 400, message=repr(error))


async def healthz(request: web.Request) -> web.Response:
    """Say that the process is up."""
    return web.json_response({'status': 'ok'})


async def read_fault(request: web.Request, kinds) -> tuple[str, float]:
    """Return the fault that a call asks for and how long it is to last."""
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
    """Return an application with what all stand-ins have."""
    application = web.Application(
        middlewares=(answer_failures,), client_max_size=LARGEST_BODY
    )
    application.router.add_get('/healthz', healthz)
    return application


@contextlib.asynccontextmanager
async def listening(application: web.Application, host: str, port: int):
    """Serve while inside; gives the port, which for 0 is a free one.

    A client that goes away cancels its handler, as real engines do.
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
