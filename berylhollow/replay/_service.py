"""A plain service of the world."""

import itertools
import typing

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.replay import _actions
from berylhollow.replay import _answers
from berylhollow.replay import _endpoints
from berylhollow.standin import faults

if typing.TYPE_CHECKING:
    from berylhollow.replay import _sidecar
    from berylhollow.replay import _world

Point = _actions.Point
SLOW_FACTOR = 10


class ServiceDriver(_endpoints.Endpoint):
    """A plain service: each call takes ``work_ms`` and answers at its end."""

    def __init__(self, world: '_world.World', instance: str, work_ms: float):
        super().__init__(world, instance)
        self.work_ms = work_ms
        self.faults = faults.FaultSwitches()
        self.numbers = itertools.count()
        self.dropped: set[int] = set()

    def faulty(self, fault: faults.ServiceFault) -> bool:
        return self.faults.active(fault, self.world.now_ms)

    def status(self, process: '_sidecar.SidecarProcess') -> None:
        if self.faulty(faults.ServiceFault.CRASH):
            self.reply(process, Point.REPORTED, events.EndpointUnreachable)
            return
        self.reply(
            process,
            Point.REPORTED,
            events.EngineStatus,
            '',
            '',
            (),
            0,
            len(self.jobs),
            0,
            0,
        )

    def load(self, process, order: effects.LoadAdapter) -> None:
        raise NotImplementedError('a plain service has no adapters')

    def submit(
        self, process: '_sidecar.SidecarProcess', effect: effects.StartRun
    ) -> None:
        job = _endpoints.Job(process, effect.offer)
        if self.faulty(faults.ServiceFault.CRASH):
            kind = errors.Kind.ENDPOINT_UNREACHABLE
            self.not_run(process, effect.attempt_id, kind)
            return
        if self.faulty(faults.ServiceFault.RESET_BEFORE_RUN):
            self.crashed(job)
            return
        wait_ms = 0
        if self.faulty(faults.ServiceFault.HANG):
            wait_ms = (
                self.faults.end_ms(faults.ServiceFault.HANG)
                - self.world.now_ms
            )
        self.world.schedule(
            wait_ms, Point.STEP, 'begin', self.instance, self.begin, job
        )

    def begin(self, job: _endpoints.Job) -> None:
        ticket = next(self.numbers)
        self.jobs[ticket] = job
        self.note_began(job, '')
        work_ms = self.work_ms
        if self.faulty(faults.ServiceFault.SLOW):
            work_ms *= SLOW_FACTOR
        self.world.schedule(
            work_ms, Point.STEP, 'end', self.instance, self.over, ticket
        )

    def over(self, ticket: int) -> None:
        job = self.jobs.pop(ticket)
        self.note_over(job)
        if ticket in self.dropped:
            return
        crashed = self.faulty(faults.ServiceFault.CRASH)
        if crashed or self.faulty(faults.ServiceFault.RESET_AFTER_RUN):
            self.crashed(job)
            return
        self.reply(
            job.process,
            Point.OUTPUT,
            events.RunStarted,
            job.offer.attempt_id,
            '',
            _endpoints.OK,
            (),
            None,
        )
        self.pass_token(job, _answers.of_service(job.offer.body))
        self.pass_end(job)

    def drop_connection(self) -> None:
        """Break the connection of the call that is here for longest."""
        for ticket, job in list(self.jobs.items())[:1]:
            self.dropped.add(ticket)
            self.crashed(job)

    def cancel(
        self, process: '_sidecar.SidecarProcess', attempt_id: str
    ) -> None:
        """Do nothing: a call that began runs to its end."""

    def abandon(self, process: '_sidecar.SidecarProcess') -> None:
        """Do nothing: a call that began runs to its end."""
