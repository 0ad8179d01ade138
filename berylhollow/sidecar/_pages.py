"""The sidecar's own pages: health, readiness, status and metrics."""

import collections.abc
import dataclasses

from aiohttp import web

import berylhollow
from berylhollow import following
from berylhollow import metrics
from berylhollow import settings as all_settings
from berylhollow.sidecar import _shell

UNAVAILABLE = 503


class Pages:
    """Serves pages on a listener of its own; it only reads the state."""

    def __init__(
        self,
        settings: all_settings.SidecarSettings,
        shell: _shell.Shell,
        metrics_text: collections.abc.Callable[[], bytes],
    ):
        self.settings = settings
        self.shell = shell
        self.metrics_text = metrics_text
        self.runner: web.ServerRunner | None = None
        self.port = settings.status.port
        self.pages = {
            '/healthz': self._health,
            '/readyz': self._readiness,
            '/status': self._status,
            '/metrics': self._metrics,
        }

    async def start(self) -> None:
        """Listen; ``port`` then is the real one. Raises OSError."""
        self.runner = web.ServerRunner(
            web.Server(self._answer, access_log=None)
        )
        await self.runner.setup()
        host = self.settings.status.host
        await web.TCPSite(self.runner, host, self.port).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        page = self.pages.get(request.path)
        if page is None:
            return web.Response(status=404)
        if request.method not in ('GET', 'HEAD'):
            return web.Response(status=405, headers={'Allow': 'GET, HEAD'})
        return page()

    def _health(self) -> web.Response:
        return web.json_response({'alive': True})

    def _readiness(self) -> web.Response:
        state = self.shell.driver.state
        ready = state.reachable and not state.stopping
        status = 200 if ready else UNAVAILABLE
        return web.json_response({'ready': ready}, status=status)

    def _status(self) -> web.Response:
        return web.json_response(
            dataclasses.asdict(
                describe(
                    self.shell.driver.state, self.shell.driver.time.now_ms()
                )
            )
        )

    def _metrics(self) -> web.Response:
        headers = {'Content-Type': metrics.CONTENT_TYPE}
        return web.Response(body=self.metrics_text(), headers=headers)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotStatus:
    """One slot as the status page shows it."""

    slot: int
    phase: str
    adapter: str
    pins: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the status page shows of a sidecar."""

    instance: str
    role: str
    version: str
    service: str
    epoch: str
    reachable: bool
    stopping: bool
    running: int
    queued: int
    gateways: tuple[str, ...]
    slots: tuple[SlotStatus, ...]
    configuration: following.Status


def describe(state, at_ms: int) -> Status:
    """Return the status of a reducer's state."""
    return Status(
        instance=state.options.instance,
        role=all_settings.Role.SIDECAR,
        version=berylhollow.__version__,
        service=state.options.service,
        epoch=state.epoch,
        reachable=state.reachable,
        stopping=state.stopping,
        running=len(state.running),
        queued=len(state.queue),
        gateways=tuple(state.links),
        slots=tuple(_slot(slot) for slot in state.slots),
        configuration=state.follower.status(at_ms),
    )


def _slot(slot) -> SlotStatus:
    return SlotStatus(
        slot.number, slot.phase.value, str(slot.adapter or ''), slot.pins
    )
