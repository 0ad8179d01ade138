"""The sidecar's shell: links, endpoint and platform around the reducer."""

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

LAST_FRAMES_MS = 5000
"""Time for a gateway to come back at a stop; longer than it tries to."""

LAST_FRAMES_PAUSE_MS = 20

ANSWER_BUFFER_BYTES = 16 * 1024
"""What is held of an answer beside the frames that are kept of it."""


class PortTakenError(Exception):
    """Another process holds the port that keeps sidecars apart."""


class Shell:
    """Runs one sidecar around a reducer.

    ``ended`` is set to the exit code when the reducer has nothing more to
    do. ``count`` takes the name, value and attributes of metrics.
    """

    def __init__(
        self,
        settings: all_settings.SidecarSettings,
        reduce: shell.Reduce,
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
        self.driver.failed.add_done_callback(self._failed)
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
        """Take the port, then begin.

        Guards against two sidecars that order the same endpoint about: the
        newer one would load over an adapter that the older one runs on. The
        kernel keeps the port with a process that is only paused, so that a
        replacement ends here, before it has sent any order. Raises
        PortTakenError.
        """
        try:
            await self.links.start()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            raise PortTakenError(self._port_taken()) from error
        LOG.info('listening', extra={'port': self.links.server.port})
        self._connect()
        now_ms = self.time.now_ms()
        self.driver.feed(events.Started(now_ms, self.incarnation))
        self.tasks.start(self.driver.tick(self.settings.tick_ms))

    async def stop(self) -> int:
        """Shut down gracefully and return the exit code."""
        if not self.ended.done():
            self.driver.feed(events.StopRequested(self.time.now_ms()))
        code = await self.ended
        await self._last_frames()
        await self.close()
        return code

    async def _last_frames(self) -> None:
        """Let gateways whose link broke come back for the end of answers.

        What went to a link that is open arrives before the link closes.
        """
        pause_s = LAST_FRAMES_PAUSE_MS / clock.MS_PER_SECOND
        for _ in range(LAST_FRAMES_MS // LAST_FRAMES_PAUSE_MS):
            if not self.runs.undelivered():
                return
            await asyncio.sleep(pause_s)
        LOG.warning('answers that no gateway came back for are dropped')

    async def close(self) -> None:
        """End the links after what was sent on them, and every call."""
        await self.links.stop()
        await self.tasks.stop()
        await self.runs.close()
        await self.endpoint.close()
        await self.platform.close()

    def _connect(self) -> None:
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
            _open_endpoint(url, is_engine),
            control,
            self.links,
            feed,
            self.time,
            self.tasks,
        )
        self.links.acknowledge = self.runs.acknowledge
        self.links.relieve = self.runs.relieve
        self.links.detach = self.runs.detach
        self.platform = shell.PlatformCalls(
            *shell.own_service(settings.platform.url),
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

    def _failed(self, failed: asyncio.Future) -> None:
        if not failed.cancelled() and not self.ended.done():
            self.ended.set_result(1)

    def _port_taken(self) -> str:
        listen = self.settings.listen
        return (
            f'{listen.host}:{listen.port} is taken: another sidecar runs '
            'beside this endpoint, or is paused; end it first'
        )


def _open_endpoint(url: str, is_engine: bool) -> endpoint.EndpointClient:
    """Return the client for runs, which holds little of each answer."""
    return endpoint.EndpointClient(
        url,
        is_engine,
        unpooled_session=outgoing.open_session(
            reuse=False, buffer_bytes=ANSWER_BUFFER_BYTES
        ),
    )
