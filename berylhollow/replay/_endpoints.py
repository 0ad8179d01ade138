"""What both kinds of endpoint do alike in the world."""

import collections.abc
import dataclasses
import typing

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.replay import _actions
from berylhollow.replay import _facts

if typing.TYPE_CHECKING:
    from berylhollow.replay import _sidecar
    from berylhollow.replay import _world

Point = _actions.Point
OK = 200


class Driver(typing.Protocol):
    """An endpoint as its sidecar's shell reaches it."""

    def status(self, process: '_sidecar.SidecarProcess') -> None:
        """Answer with EngineStatus or EndpointUnreachable."""

    def load(
        self,
        process: '_sidecar.SidecarProcess',
        order: effects.LoadAdapter,
    ) -> None:
        """Answer with LoadSucceeded or LoadFailed."""

    def submit(
        self, process: '_sidecar.SidecarProcess', run: effects.StartRun
    ) -> None:
        """Answer with RunStarted and RunEnded, or RunFailed."""

    def cancel(
        self, process: '_sidecar.SidecarProcess', attempt_id: str
    ) -> None:
        """Answer with CancelConfirmed."""

    def abandon(self, process: '_sidecar.SidecarProcess') -> None:
        """Notice that a sidecar's connections broke."""

    def running_for(
        self, process: '_sidecar.SidecarProcess'
    ) -> tuple[str, ...]:
        """Return the attempts that run for a sidecar."""


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One run at an endpoint and the sidecar that gets its answer."""

    process: '_sidecar.SidecarProcess'
    offer: messages.Offer
    begun: bool = False
    headed: bool = False
    tokens: int = 0
    held: int = 0
    adapter: messages.AdapterVersion | None = None


class Endpoint:
    """What both kinds of endpoint do alike."""

    def __init__(self, world: '_world.World', instance: str):
        self.world = world
        self.instance = instance
        self.jobs: dict[int, Job] = {}

    def reply(
        self,
        process: '_sidecar.SidecarProcess',
        point: Point,
        kind: type,
        *values: object,
    ) -> None:
        """Let an event reach the sidecar after the latency."""
        self.answer(process, point, kind.__name__, process.told, kind, *values)

    def answer(
        self,
        process: '_sidecar.SidecarProcess',
        point: Point,
        detail: str,
        carry_out: collections.abc.Callable[..., None],
        *values: object,
    ) -> None:
        self.world.schedule(
            self.world.latencies.endpoint_ms,
            point,
            detail,
            self.instance,
            process.receive,
            carry_out,
            *values,
        )

    def not_run(
        self, process: '_sidecar.SidecarProcess', attempt_id: str, kind
    ) -> None:
        self.reply(
            process,
            Point.OUTPUT,
            events.RunFailed,
            attempt_id,
            kind,
            errors.Ran.NOT_RUN,
        )

    def crashed(self, job: Job) -> None:
        self.reply(
            job.process,
            Point.OUTPUT,
            events.RunFailed,
            job.offer.attempt_id,
            errors.Kind.ENDPOINT_FAILED,
            errors.Ran.UNKNOWN,
            True,
        )

    def note_began(self, job: Job, epoch: str) -> None:
        job.begun = True
        self.world.record.note(
            _facts.RunBegan(
                self.world.now_ms,
                self.instance,
                epoch,
                job.offer.attempt_id,
                job.offer.request_id,
            )
        )

    def note_over(self, job: Job) -> None:
        self.world.record.note(
            _facts.RunOver(
                self.world.now_ms, self.instance, job.offer.attempt_id
            )
        )

    def pass_token(self, job: Job, payload: bytes) -> None:
        self.answer(
            job.process,
            Point.OUTPUT,
            'token',
            job.process.produced,
            job.offer.attempt_id,
            payload,
        )

    def pass_end(self, job: Job) -> None:
        self.answer(
            job.process,
            Point.OUTPUT,
            'end',
            job.process.finished,
            job.offer.attempt_id,
        )

    def running_for(
        self, process: '_sidecar.SidecarProcess'
    ) -> tuple[str, ...]:
        return tuple(
            job.offer.attempt_id
            for job in self.jobs.values()
            if job.process is process
        )
