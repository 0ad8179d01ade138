"""Runs the sidecar as a process, with its status pages and metrics."""

import asyncio

import aiomisc

from berylhollow import configuration
from berylhollow import events
from berylhollow import following
from berylhollow import metrics
from berylhollow import settings as all_settings
from berylhollow.sidecar import _options
from berylhollow.sidecar import _pages
from berylhollow.sidecar import _reducer
from berylhollow.sidecar import _shell
from berylhollow.sidecar import _state
from berylhollow.util import exits
from berylhollow.util import loop

STOP_MARGIN_MS = 10_000
"""Time to close the links after the reducer's grace period has ended."""


def serve(settings: all_settings.SidecarSettings) -> int:
    """Run a sidecar until it is told to stop; return its exit code.

    Raises ``exits.UserError`` if another sidecar holds the port.
    """
    return loop.run(
        lambda lifetime: [SidecarService(settings, lifetime)],
        stop_grace_ms=settings.stop_grace_ms + STOP_MARGIN_MS,
    )


def make_state(
    settings: all_settings.SidecarSettings, follower: following.Follower
) -> _state.State:
    """Return the reducer's initial state for these settings."""
    endpoint = settings.endpoint
    options = _options.Options(
        instance=settings.instance,
        service=settings.service,
        failure_domain=settings.failure_domain,
        region=settings.region,
        plain=endpoint.kind is all_settings.EndpointKind.PLAIN,
        checks_fencing=endpoint.checks_fencing,
        concurrency=endpoint.concurrency,
        queue_limit=settings.queue_limit,
        load_timeout_ms=settings.load_timeout_ms,
        status_poll_ms=settings.status_poll_ms,
        stop_grace_ms=settings.stop_grace_ms,
    )
    return _state.State(options, follower)


def make_follower(
    settings: all_settings.SidecarSettings,
) -> configuration.Follower:
    """Return a sidecar's follower of the configuration."""
    return configuration.Follower(
        settings.instance, events.Role.ENDPOINT, settings.failure_domain
    )


class SidecarService(aiomisc.Service):
    """Service that runs one sidecar for the lifetime of the process."""

    def __init__(
        self, settings: all_settings.SidecarSettings, lifetime: loop.Lifetime
    ):
        super().__init__()
        self.lifetime = lifetime
        self.settings = settings
        self.meters = meters = metrics.Meters(
            all_settings.Role.SIDECAR,
            settings.instance,
            settings.failure_domain,
        )
        self.shell = _shell.Shell(
            settings,
            _reducer.reduce,
            make_state(settings, make_follower(settings)),
            meters.add,
        )
        self._observe_gauges(meters)
        self.pages = _pages.Pages(settings, self.shell, meters.render)

    def _observe_gauges(self, meters: metrics.Meters) -> None:
        state = self.shell.driver.state
        service = [('berylhollow.service', state.options.service)]
        meters.observe(
            'berylhollow.queue_length', lambda: len(state.queue), service
        )
        meters.observe(
            'berylhollow.running', lambda: len(state.running), service
        )
        following.observe(state.follower, self.shell.driver.time, meters)

    async def start(self) -> None:
        """Bind the port and start the sidecar."""
        try:
            await self.shell.start()
        except _shell.PortTakenError as error:
            raise exits.UserError(
                str(error), exits.ExitCode.ADDRESS_IN_USE
            ) from error
        self.shell.ended.add_done_callback(self._stop_process)
        if self.settings.status.enabled:
            await self.pages.start()
        metrics.open_in_background(self.meters)

    async def stop(self, exception: Exception | None = None) -> None:
        """Let runs finish, then close."""
        self.lifetime.stop(await self.shell.stop())
        await self.pages.stop()

    def _stop_process(self, ended: asyncio.Future[int]) -> None:
        self.lifetime.stop(ended.result())
