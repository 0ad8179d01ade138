"""Connects the sidecar's reducer to links, endpoint and platform."""

import asyncio
import errno
import logging
import secrets
import typing

from berylhollow import clock
from berylhollow import effects
from berylhollow import endpoint
from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import settings as all_settings
from berylhollow import shell
from berylhollow.sidecar import _endpoint_calls
from berylhollow.sidecar import _gateway_links
from berylhollow.sidecar import _run_calls

LOG = logging.getLogger(__name__)

DELIVERY_TIMEOUT_MS = 5000
"""How long a stop waits for gateways to resume; longer than they try to."""

DELIVERY_POLL_MS = 20

ANSWER_BUFFER_BYTES = 16 * 1024
"""Read buffer of one answer, beside the frames kept until acknowledged."""


class PortTakenError(Exception):
    """Another process holds the port, which only one sidecar can bind."""


class Shell:
    """Runs one sidecar: feeds its reducer and carries out the effects.

    ``ended`` is set to the exit code when the reducer asks to exit or fails.
    ``count`` takes the name, value and attributes of a metric.
    """

    def __init__(
        self,
        settings: all_settings.SidecarSettings,
        reduce: shell.Reducer,
        state: typing.Any,
        count: typing.Callable[..., None],
        time: clock.Clock | None = None,
    ):
        self.settings = settings
        self.time = time or clock.MonotonicClock()
        self.count = count
        self.incarnation = secrets.token_hex(8)
        self.ended: asyncio.Future[int] = asyncio.Future()
        self.tasks = shell.Tasks()
        self.driver = shell.Driver(reduce, state, self.time, {})
        self.driver.failed.add_done_callback(self._end_after_failure)
        self.links = _gateway_links.GatewayLinks(
            settings,
            self.incarnation,
            self.driver.feed,
            self.time,
            self.tasks,
        )
        self.platform: shell.PlatformCalls | None = None
        self.endpoint: _endpoint_calls.EndpointCalls | None = None
        self.runs: _run_calls.RunCalls | None = None

    async def start(self) -> None:
        """Bind the port, then start the reducer.

        Guards against two sidecars that send orders to the same endpoint: the
        newer one would load over an adapter that the older one is using. A
        process that is only paused still holds its port, so a replacement
        fails here, before it has sent any order. Raises PortTakenError.
        """
        try:
            await self.links.start()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            raise PortTakenError(self._port_taken_message()) from error
        LOG.info('listening', extra={'port': self.links.server.port})
        self._create_calls()
        now_ms = self.time.now_ms()
        self.driver.feed(events.Started(now_ms, self.incarnation))
        self.tasks.start(self.driver.tick(self.settings.tick_ms))

    async def stop(self) -> int:
        """Shut down gracefully and return the exit code."""
        if not self.ended.done():
            self.driver.feed(events.StopRequested(self.time.now_ms()))
        code = await self.ended
        await self._await_delivery()
        await self.close()
        return code

    async def _await_delivery(self) -> None:
        """Wait for gateways whose link broke to resume complete answers.

        Frames on an open link need no wait: they are sent before it closes.
        """
        pause_s = DELIVERY_POLL_MS / clock.MS_PER_SECOND
        for _ in range(DELIVERY_TIMEOUT_MS // DELIVERY_POLL_MS):
            if not self.runs.has_undelivered_answer():
                return
            await asyncio.sleep(pause_s)
        LOG.warning('answers that no gateway came back for are dropped')

    async def close(self) -> None:
        """Close the links after flushing them, and end every call."""
        await self.links.stop()
        await self.tasks.stop()
        await self.runs.close()
        await self.endpoint.close()
        await self.platform.close()

    def _create_calls(self) -> None:
        settings = self.settings
        feed = self.driver.feed
        url = settings.endpoint.url
        is_engine = settings.endpoint.kind is all_settings.EndpointKind.ENGINE
        if is_engine:
            control = _endpoint_calls.EngineControl(url)
        else:
            control = _endpoint_calls.PlainControl(url)
        self.endpoint = _endpoint_calls.EndpointCalls(
            control, feed, self.time, self.tasks
        )
        self.runs = _run_calls.RunCalls(
            _open_run_client(url, is_engine),
            control,
            self.links,
            feed,
            self.time,
            self.tasks,
        )
        self.links.on_acknowledge = self.runs.acknowledge
        self.links.on_writable = self.runs.resume_sending
        self.links.on_closed = self.runs.detach
        self.platform = shell.PlatformCalls(
            *shell.log_service_clients(settings.platform.url),
            feed,
            self.time,
            self.tasks,
        )
        self.driver.handlers = self._handlers()

    def _handlers(self) -> dict:
        return {
            effects.Send: self._send,
            effects.CloseLink: self._close_link,
            effects.Count: self._count,
            effects.Log: shell.write_log,
            effects.Exit: self._exit,
            **self.platform.handlers(),
            **self.endpoint.handlers(),
            **self.runs.handlers(),
        }

    def _send(self, effect: effects.Send) -> None:
        self.links.send(effect.peer, effect.message)
        if isinstance(effect.message, messages.Started):
            self.runs.accept(effect.message.attempt_id)

    def _close_link(self, effect: effects.CloseLink) -> None:
        self.links.close(effect.peer)

    def _count(self, effect: effects.Count) -> None:
        self.count(effect.name, effect.value, effect.attributes)

    def _exit(self, effect: effects.Exit) -> None:
        if not self.ended.done():
            self.ended.set_result(effect.code)

    def _end_after_failure(self, failed: asyncio.Future) -> None:
        if not failed.cancelled() and not self.ended.done():
            self.ended.set_result(1)

    def _port_taken_message(self) -> str:
        listen = self.settings.listen
        return (
            f'{listen.host}:{listen.port} is taken: another sidecar of '
            'this endpoint is running or paused; stop it first'
        )


def _open_run_client(url: str, is_engine: bool) -> endpoint.EndpointClient:
    """Return a client for runs, with a small read buffer for each answer."""
    return endpoint.EndpointClient(
        url,
        is_engine,
        unpooled_session=outgoing.open_session(
            reuse=False, buffer_bytes=ANSWER_BUFFER_BYTES
        ),
    )
