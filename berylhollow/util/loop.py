"""Run a process's services on uvloop until a signal stops them gracefully."""

import asyncio
import collections.abc
import gc
import logging
import os
import signal

import aiomisc
import uvloop

from berylhollow.util import exits

LOG = logging.getLogger(__name__)
MS_PER_SECOND = 1000

GC_THRESHOLDS = (700, 10, 10)
"""Thresholds of garbage collection while serving, equal to Python's defaults:
many short collections instead of a few that would stall streams."""

SECOND_FREEZE_S = 60
"""Delay of the second freeze; by then a process has its configuration and its
links."""


class Lifetime:
    """Lets services stop their process, and see that it is stopping."""

    def __init__(self):
        self.stopping = asyncio.Event()
        self.exit_code = int(exits.ExitCode.OK)

    def stop(self, exit_code: int = exits.ExitCode.OK) -> None:
        """Begin the graceful stop; the highest exit code given is kept."""
        self.exit_code = max(self.exit_code, int(exit_code))
        self.stopping.set()


Services = collections.abc.Sequence[aiomisc.Service]
MakeServices = collections.abc.Callable[[Lifetime], Services]


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a uvloop event loop that uses no io_uring.

    libuv opens an io_uring unless this variable disables it. It reads the
    variable when the first loop is created, so it can be set here.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    return uvloop.new_event_loop()


def run(make_services: MakeServices, *, stop_grace_ms: int) -> int:
    """Run services until the process is told to stop; return its exit code.

    ``make_services`` is called in the running loop. SIGTERM, SIGINT and
    ``Lifetime.stop`` begin the stop: each service's ``stop`` is awaited, in
    which it finishes the work it has accepted. A stop that takes longer than
    ``stop_grace_ms`` is aborted with ``ExitCode.STOP_TIMEOUT``. If a service
    fails to start, its exception is raised.
    """
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(_serve(make_services, stop_grace_ms))


async def _serve(make_services: MakeServices, stop_grace_ms: int) -> int:
    lifetime = Lifetime()
    try:
        async with asyncio.timeout(None) as limit:
            _handle_signals(lifetime, limit)
            services = make_services(lifetime)
            # aiomisc's own handlers restore the default ones at the first
            # signal, so a second SIGTERM would abort requests.
            async with aiomisc.entrypoint(
                *services, log_config=False, catch_signals=()
            ):
                _freeze_startup_objects()
                await lifetime.stopping.wait()
                LOG.info('stopping', extra={'stop_grace_ms': stop_grace_ms})
                limit.reschedule(_deadline_after(stop_grace_ms))
    except TimeoutError:
        if not limit.expired():
            raise
        LOG.error('graceful stop cut off')
        return int(exits.ExitCode.STOP_TIMEOUT)
    LOG.info('stopped', extra={'exit_code': lifetime.exit_code})
    return lifetime.exit_code


def _freeze_startup_objects() -> None:
    """Exclude the objects created at startup from garbage collection.

    A full collection traverses every object of every library, which stalls
    all streams for longer than the time between two tokens. The objects
    created by now live as long as the process. The configuration arrives a
    little later, so the objects are frozen once more.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.get_running_loop().call_later(SECOND_FREEZE_S, gc.freeze)


def _log_hangup() -> None:
    """Log the SIGHUP; changed settings are read only at the next start.

    Without a handler the signal would terminate the process.
    """
    LOG.info('settings may have changed', extra={'signal': 'SIGHUP'})


def _handle_signals(lifetime: Lifetime, limit: asyncio.Timeout) -> None:
    def interrupt() -> None:
        # A second Ctrl-C at a terminal aborts the graceful stop.
        if lifetime.stopping.is_set():
            limit.reschedule(_deadline_after(0))
        lifetime.stop()

    loop = asyncio.get_running_loop()
    # A platform may repeat SIGTERM during a long stop; it must not abort it.
    loop.add_signal_handler(signal.SIGTERM, lifetime.stop)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    loop.add_signal_handler(signal.SIGHUP, _log_hangup)


def _deadline_after(duration_ms: int) -> float:
    now_s = asyncio.get_running_loop().time()
    return now_s + duration_ms / MS_PER_SECOND
