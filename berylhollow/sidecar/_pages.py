"""HTTP pages of the sidecar: health, readiness, status and metrics."""

import collections.abc
import dataclasses

from aiohttp import web

import berylhollow
from berylhollow import following
from berylhollow import metrics
from berylhollow import settings as all_settings
from berylhollow import shell
from berylhollow.sidecar import _shell

UNAVAILABLE = 503


class Pages(shell.PagesServer):
    """Serves the pages on their own listener; only reads the state."""

    def __init__(
        self,
        settings: all_settings.SidecarSettings,
        sidecar: _shell.Shell,
        metrics_text: collections.abc.Callable[[], bytes],
    ):
        pages = {
            '/healthz': self._health,
            '/readyz': self._readiness,
            '/status': self._status,
            '/metrics': self._metrics,
        }
        super().__init__(settings.status.host, settings.status.port, pages)
        self.sidecar = sidecar
        self.metrics_text = metrics_text

    def _health(self) -> web.Response:
        return web.json_response({'alive': True})

    def _readiness(self) -> web.Response:
        state = self.sidecar.driver.state
        ready = state.reachable and not state.stopping
        status = 200 if ready else UNAVAILABLE
        return web.json_response({'ready': ready}, status=status)

    def _status(self) -> web.Response:
        return web.json_response(
            dataclasses.asdict(
                describe(
                    self.sidecar.driver.state,
                    self.sidecar.driver.time.now_ms(),
                )
            )
        )

    def _metrics(self) -> web.Response:
        headers = {'Content-Type': metrics.CONTENT_TYPE}
        return web.Response(body=self.metrics_text(), headers=headers)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotStatus:
    """State of one adapter slot on the status page."""

    slot: int
    phase: str
    adapter: str
    pins: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Contents of the status page."""

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
    """Return the status page for a state of the reducer."""
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
        slots=tuple(_slot_status(slot) for slot in state.slots),
        configuration=state.follower.status(at_ms),
    )


def _slot_status(slot) -> SlotStatus:
    return SlotStatus(
        slot.number, slot.phase.value, str(slot.adapter or ''), slot.pins
    )
