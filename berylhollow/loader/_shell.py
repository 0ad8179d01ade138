"""Runs a loader's reducer with its gateway links and endpoint calls."""

import asyncio
import logging
import secrets
import typing

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import link as links
from berylhollow.loader import _endpoint_calls
from berylhollow.loader import _reducer
from berylhollow.loader import _state
from berylhollow import platform
from berylhollow import shell

LOG = logging.getLogger(__name__)
TICK_MS = 20
"""Short compared with the 250 ms of a load; a tick costs a few
microseconds."""


class Shell:
    """Runs one loader: feeds events to its reducer and carries out effects.

    ``ended`` resolves to the exit code.
    """

    def __init__(
        self,
        state: _state.State,
        identity: str,
        listen: tuple[str, int],
        key: bytes,
        control: platform.EndpointControlClient,
        time: clock.Clock | None = None,
        count: typing.Callable[..., None] = lambda *_: None,
        link_options: links.Options | None = None,
    ):
        self.time = time or clock.MonotonicClock()
        self.ended: asyncio.Future[int] = asyncio.Future()
        self.tasks = shell.Tasks()
        self.count = count
        self.incarnation = secrets.token_hex(8)
        self.driver = shell.Driver(_reducer.reduce, state, self.time, {})
        self.driver.failed.add_done_callback(self._driver_failed)
        self.links = shell.GatewayLinks(
            links.Identity(
                identity, events.Role.ENDPOINT.value, self.incarnation
            ),
            listen,
            key,
            self.driver.feed,
            self.time,
            link_options,
        )
        self.endpoint = _endpoint_calls.EndpointCalls(
            control,
            state.options.instance,
            self.driver.feed,
            self.time,
            self.tasks,
        )
        self.driver.handlers = {
            effects.Send: self._send,
            effects.Count: self._count,
            effects.Log: shell.write_log,
            effects.Exit: self._exit,
            **self.endpoint.handlers(),
        }

    async def start(self) -> None:
        """Listen for gateways and start ticking. Raises OSError."""
        await self.links.start()
        LOG.info('listening', extra={'port': self.links.server.port})
        now_ms = self.time.now_ms()
        self.driver.feed(events.Started(now_ms, self.incarnation))
        self.tasks.start(self.driver.tick(TICK_MS))

    async def stop(self) -> int:
        """Stop and return the exit code."""
        if not self.ended.done():
            self.driver.feed(events.StopRequested(self.time.now_ms()))
        code = await self.ended
        await self.links.stop()
        await self.tasks.stop()
        await self.endpoint.close()
        return code

    def _send(self, effect: effects.Send) -> None:
        self.links.send(effect.peer, effect.message)

    def _count(self, effect: effects.Count) -> None:
        self.count(effect.name, effect.value, effect.attributes)

    def _exit(self, effect: effects.Exit) -> None:
        if not self.ended.done():
            self.ended.set_result(effect.code)

    def _driver_failed(self, failed: asyncio.Future) -> None:
        if not failed.cancelled() and not self.ended.done():
            self.ended.set_result(1)
