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

COLLECTIONS = (700, 10, 10)
"""Thresholds of garbage collections while serving, Python's own: many short
ones rather than few that a stream would notice."""

SETTLED_S = 60
"""By then a process has the configuration and its links."""


class Lifetime:
    """Lets the services of a process end it, and know that it is ending."""

    def __init__(self):
        self.stopping = asyncio.Event()
        self.exit_code = int(exits.ExitCode.OK)

    def stop(self, exit_code: int = exits.ExitCode.OK) -> None:
        """Begin the graceful stop; the worst exit code given is kept."""
        self.exit_code = max(self.exit_code, int(exit_code))
        self.stopping.set()


Services = collections.abc.Sequence[aiomisc.Service]
MakeServices = collections.abc.Callable[[Lifetime], Services]


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a uvloop event loop that uses no io_uring.

    libuv opens an io_uring unless this variable says otherwise, and reads it
    when the first loop is made, so setting it here is in time.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    return uvloop.new_event_loop()


def run(make_services: MakeServices, *, stop_grace_ms: int) -> int:
    """Run services until the process is told to stop; return its exit code.

    ``make_services`` is called in the running loop. SIGTERM, SIGINT and
    ``Lifetime.stop`` begin the stop: each service's ``stop`` is awaited, and
    is where it finishes what it has accepted. A stop that takes longer than
    ``stop_grace_ms`` is cut off with ``ExitCode.STOP_TIMEOUT``. A service
    that fails to start ends the run with its exception.
    """
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(_serve(make_services, stop_grace_ms))


async def _serve(make_services: MakeServices, stop_grace_ms: int) -> int:
    lifetime = Lifetime()
    try:
        async with asyncio.timeout(None) as limit:
            _handle_signals(lifetime, limit)
            services = make_services(lifetime)
            # aiomisc's own handlers would give way to the default ones at
            # the first signal, so that a second SIGTERM cuts off requests.
            async with aiomisc.entrypoint(
                *services, log_config=False, catch_signals=()
            ):
                _settle_memory()
                await lifetime.stopping.wait()
                LOG.info('stopping', extra={'stop_grace_ms': stop_grace_ms})
                limit.reschedule(_in(stop_grace_ms))
    except TimeoutError:
        if not limit.expired():
            raise
        LOG.error('graceful stop cut off')
        return int(exits.ExitCode.STOP_TIMEOUT)
    LOG.info('stopped', extra={'exit_code': lifetime.exit_code})
    return lifetime.exit_code


def _settle_memory() -> None:
    """Keep what a process starts with out of garbage collections.

    Guards against pauses: a full collection walks every object of every
    library, which holds up all streams for longer than the time between two
    tokens. What was made by now stays anyway. The configuration arrives a
    little later, so the same is done once more.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTIONS)
    asyncio.get_running_loop().call_later(SETTLED_S, gc.freeze)


def _hung_up() -> None:
    """Note that the settings may have changed; they are read at a start.

    Guards against a process that ends at the signal: that is its default.
    """
    LOG.info('settings may have changed', extra={'signal': 'SIGHUP'})


def _handle_signals(lifetime: Lifetime, limit: asyncio.Timeout) -> None:
    def interrupt() -> None:
        # A second Ctrl-C at a terminal means: don't wait any longer.
        if lifetime.stopping.is_set():
            limit.reschedule(_in(0))
        lifetime.stop()

    loop = asyncio.get_running_loop()
    # A platform that repeats SIGTERM during a long stop must not cut it off.
    loop.add_signal_handler(signal.SIGTERM, lifetime.stop)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    loop.add_signal_handler(signal.SIGHUP, _hung_up)


def _in(duration_ms: int) -> float:
    now_s = asyncio.get_running_loop().time()
    return now_s + duration_ms / MS_PER_SECOND
