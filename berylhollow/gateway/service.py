"""The gateway as a process: its shell, its metrics and its signals."""

import asyncio
import errno

import aiomisc

from berylhollow import configuration
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _deployment
from berylhollow.gateway import _options
from berylhollow.gateway import _reducer
from berylhollow.gateway import _shell
from berylhollow.gateway import _state
from berylhollow import metrics
from berylhollow import settings as all_settings
from berylhollow import shell
from berylhollow.util import exits
from berylhollow.util import loop

PageListener = _deployment.PageListener
Deployment = _deployment.Deployment

STOP_MARGIN_MS = 10_000
"""Time to close everything after the reducer's stop grace has ended."""


def serve(settings: all_settings.GatewaySettings) -> int:
    """Run a gateway until it is told to stop; return its exit code.

    Raises ``exits.UserError`` if a port is in use.
    """
    return loop.run(
        lambda lifetime: [GatewayService(settings, lifetime)],
        stop_grace_ms=(
            settings.stop_notice_ms + settings.stop_grace_ms + STOP_MARGIN_MS
        ),
    )


def make_state(
    settings: all_settings.GatewaySettings, follower: following.Follower
) -> _state.State:
    """Return the reducer's initial state for the settings."""
    options = _options.Options(
        instance=settings.instance,
        failure_domain=settings.failure_domain,
        region=settings.region,
        instance_poll_ms=settings.instance_poll_ms,
        retry_share=settings.retry.share,
        caller_in_flight=settings.limits.caller_in_flight,
        caller_rate_per_s=settings.limits.caller_rate_per_s,
        caller_burst=settings.limits.caller_rate_per_s,
        stop_grace_ms=settings.stop_grace_ms,
    )
    return _state.State(options, follower)


def make_follower(
    settings: all_settings.GatewaySettings,
) -> configuration.Follower:
    """Return a follower of the configuration for a gateway."""
    return configuration.Follower(
        settings.instance, events.Role.GATEWAY, settings.failure_domain
    )


class GatewayService(aiomisc.Service):
    """Starts and stops one gateway with its process."""

    def __init__(
        self,
        settings: all_settings.GatewaySettings,
        lifetime: loop.Lifetime,
        state: _state.State | None = None,
        deployment: Deployment | None = None,
    ):
        super().__init__()
        self.lifetime = lifetime
        self.meters = meters = metrics.Meters(
            all_settings.Role.GATEWAY,
            settings.instance,
            settings.failure_domain,
        )
        self.shell = _shell.Shell(
            settings,
            _reducer.reduce,
            state or make_state(settings, make_follower(settings)),
            meters.add,
            meters.render,
            deployment=deployment,
        )
        self._register_gauges(meters)
        self.listeners = self._page_listeners(deployment)

    def _page_listeners(
        self, deployment: Deployment | None
    ) -> list[shell.PagesServer]:
        if deployment is None:
            return []
        pages = self.shell.pages
        return [
            shell.PagesServer(address.host, address.port, {address.path: page})
            for address, page in (
                (deployment.readiness, pages.readiness),
                (deployment.metrics, pages.metrics),
            )
            if address is not None
        ]

    def _register_gauges(self, meters: metrics.Meters) -> None:
        meters.observe(
            'http.server.active_requests', lambda: self.shell.in_flight
        )
        driver = self.shell.driver
        following.observe(driver.state.follower, driver.time, meters)
        meters.observe(
            'berylhollow.instance_list.age',
            lambda: driver.state.list_age_ms(driver.time.now_ms()),
        )

    async def start(self) -> None:
        """Start the page listeners and the shell."""
        try:
            for listener in self.listeners:
                await listener.start()
            await self.shell.start()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            raise exits.UserError(
                f'a port is in use: {error.strerror}',
                exits.ExitCode.ADDRESS_IN_USE,
            ) from error
        self.shell.ended.add_done_callback(self._on_shell_ended)
        metrics.open_in_background(self.meters)

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish the requests in flight, then close."""
        self.lifetime.stop(await self.shell.stop())
        for listener in self.listeners:
            await listener.stop()

    def _on_shell_ended(self, ended: asyncio.Future[int]) -> None:
        self.lifetime.stop(ended.result())
