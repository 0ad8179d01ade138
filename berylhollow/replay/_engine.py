"""A model engine of the world, with its loads and its runs."""

import math
import typing

from berylhollow import effects
from berylhollow import endpoint
from berylhollow import errors
from berylhollow import events
from berylhollow.replay import _actions
from berylhollow.replay import _answers
from berylhollow.replay import _endpoints
from berylhollow.replay import _facts
from berylhollow.standin import engine
from berylhollow.standin import engine_types
from berylhollow.standin import failures
from berylhollow.standin import faults

if typing.TYPE_CHECKING:
    from berylhollow.replay import _sidecar
    from berylhollow.replay import _world

Point = _actions.Point
STATUS_TIMEOUT_MS = 2000
REASONS = {
    failures.StaleFence: events.LoadFailure.STALE_FENCE,
    failures.WrongEpoch: events.LoadFailure.WRONG_EPOCH,
    failures.RateLimited: events.LoadFailure.RATE,
    failures.UnknownAdapter: events.LoadFailure.WEIGHTS,
}


class EngineDriver(_endpoints.Endpoint):
    """A model engine, with its loads and its runs."""

    def __init__(
        self, world: '_world.World', instance: str, model: engine.EngineModel
    ):
        super().__init__(world, instance)
        self.model = model
        self.lives = model.lives
        self.forced = False
        self.wake_ms = math.inf
        self.orders: dict[str, tuple] = {}

    @property
    def faults(self) -> faults.FaultSwitches:
        return self.model.faults

    # Status

    def status(self, process: '_sidecar.SidecarProcess') -> None:
        now_ms = self.world.now_ms
        if self.faults.active(faults.EngineFault.HANG, now_ms):
            self.unreachable(process, STATUS_TIMEOUT_MS)
            return
        try:
            status = self.model.status(now_ms)
        except failures.StandInError:
            self.unreachable(process, 0)
            return
        self.reply(
            process,
            Point.REPORTED,
            events.EngineStatus,
            status.epoch,
            status.base_model,
            tuple(slot_event(slot) for slot in status.slots),
            status.batch_limit,
            status.running,
            status.waiting,
            status.highest_fence,
        )

    def unreachable(
        self, process: '_sidecar.SidecarProcess', after_ms: float
    ) -> None:
        self.world.schedule(
            after_ms + self.world.latencies.endpoint_ms,
            Point.REPORTED,
            events.EndpointUnreachable.__name__,
            self.instance,
            process.receive,
            process.told,
            events.EndpointUnreachable,
        )

    # Loads

    def load(
        self,
        process: '_sidecar.SidecarProcess',
        effect: effects.LoadAdapter,
    ) -> None:
        order = endpoint.SlotOrder(
            effect.order_id,
            effect.slot,
            effect.fence,
            effect.epoch,
            effect.adapter,
        )
        users = self.users_of(effect.slot)
        try:
            self.model.begin_load(order, self.world.now_ms)
        except failures.StandInError as error:
            self.load_failed(process, effect.order_id, error)
            return
        finally:
            self.after()
        self.world.record.note(
            _facts.SlotTaken(
                self.world.now_ms,
                self.instance,
                effect.slot,
                effect.adapter,
                effect.fence,
                users,
            )
        )
        self.orders[effect.order_id] = (process, effect.epoch)
        try:
            self.world.weights.start(
                effect.order_id, effect.adapter, self.loaded
            )
        except failures.StandInError as error:
            self.model.finish_load(effect.order_id, False, self.world.now_ms)
            self.orders.pop(effect.order_id)
            self.load_failed(process, effect.order_id, error)

    def users_of(self, slot: int) -> tuple[str, ...]:
        self.model.run_until(self.world.now_ms)
        jobs = self.model.batch.running + self.model.batch.waiting
        return tuple(job.request.request for job in jobs if job.slot == slot)

    def load_failed(
        self,
        process: '_sidecar.SidecarProcess',
        order_id: str,
        error: failures.StandInError,
    ) -> None:
        reason = REASONS.get(type(error), events.LoadFailure.REFUSED)
        self.load_reply(
            process,
            events.LoadFailed,
            order_id,
            events.Certainty.NOT_DONE,
            reason,
        )

    def loaded(self, order_id: str, loaded: bool) -> None:
        """The weights of an order are here, or can't be had."""
        now_ms = self.world.now_ms
        if self.faults.active(faults.EngineFault.LOAD_FAILS, now_ms):
            loaded = False
        ready = self.model.finish_load(order_id, loaded, now_ms)
        self.after()
        if order_id not in self.orders:
            return
        if self.faults.active(faults.EngineFault.LOAD_ANSWER_LOST, now_ms):
            self.load_lost(order_id)
            return
        process, epoch = self.orders.pop(order_id)
        if ready:
            self.load_reply(process, events.LoadSucceeded, order_id, epoch)
            return
        reason = events.LoadFailure.REFUSED
        if epoch != self.model.epoch:
            reason = events.LoadFailure.WRONG_EPOCH
        elif not loaded:
            reason = events.LoadFailure.WEIGHTS
        self.load_reply(
            process,
            events.LoadFailed,
            order_id,
            events.Certainty.NOT_DONE,
            reason,
        )

    def load_lost(self, order_id: str) -> None:
        """Tell the sidecar that no answer came; it may still be loaded."""
        order = self.orders.pop(order_id, None)
        if order is None:
            return
        self.load_reply(
            order[0],
            events.LoadFailed,
            order_id,
            events.Certainty.UNKNOWN,
            events.LoadFailure.NO_ANSWER,
        )

    def load_reply(
        self,
        process: '_sidecar.SidecarProcess',
        kind: type,
        *values: object,
    ) -> None:
        self.answer(
            process,
            Point.LOADED,
            kind.__name__,
            process.load_answered,
            kind,
            *values,
        )

    # Runs

    def submit(
        self, process: '_sidecar.SidecarProcess', effect: effects.StartRun
    ) -> None:
        offer = effect.offer
        request = engine_types.EngineRequest(
            effect.attempt_id,
            offer.adapter,
            max(1, offer.prompt_tokens),
            max(1, offer.output_tokens),
            offer.priority,
            crashes_engine=_answers.CRASH_MARK in offer.body,
        )
        try:
            ticket = self.model.submit(request, self.world.now_ms)
        except failures.AdapterNotLoaded:
            self.world.record.note(
                _facts.Refused(
                    self.world.now_ms, self.instance, effect.attempt_id
                )
            )
            kind = errors.Kind.ENGINE_RESTARTED
            self.not_run(process, effect.attempt_id, kind)
        except failures.StandInError:
            kind = errors.Kind.ENDPOINT_UNREACHABLE
            self.not_run(process, effect.attempt_id, kind)
        else:
            self.jobs[ticket] = _endpoints.Job(process, offer)
            if not process.alive:
                self.world.schedule(
                    0, Point.OTHER, '', '', self.abandon, process
                )
        self.after()

    def cancel(
        self, process: '_sidecar.SidecarProcess', attempt_id: str
    ) -> None:
        self.after()
        self.model.cancel(attempt_id, self.world.now_ms)
        for ticket, job in list(self.jobs.items()):
            if job.offer.attempt_id == attempt_id:
                self.note_over(self.jobs.pop(ticket))
        self.after()
        self.reply(
            process, Point.CANCELLED, events.CancelConfirmed, attempt_id
        )

    def abandon(self, process: '_sidecar.SidecarProcess') -> None:
        for ticket, job in list(self.jobs.items()):
            if job.process is process:
                self.model.abandon(ticket, self.world.now_ms)
        self.after()

    def crash(self, down_ms: float | None = None) -> None:
        """Break everything under way and come back cold after a while."""
        self.model.crash(self.world.now_ms, down_ms)
        self.forced = True
        self.after()
        self.forced = False

    def drop_connection(self) -> None:
        """Break the connection of the run that is here for longest."""
        self.after()
        for ticket in list(self.jobs)[:1]:
            self.model.abandon(ticket, self.world.now_ms)
            self.after()

    # The clock

    def wake(self) -> None:
        if self.world.now_ms >= self.wake_ms:
            self.wake_ms = math.inf
            self.after()

    def after(self) -> None:
        """Hand out what the model has done and wake when it does more."""
        outputs = self.model.advance(self.world.now_ms)
        if self.model.lives != self.lives:
            self.note_death()
        for output in outputs:
            self.hand_out(output)
        if not self.world.lean:
            self.note_begun()
        next_ms = self.model.next_event_ms()
        if next_ms < self.wake_ms:
            self.wake_ms = next_ms
            self.world.push(
                next_ms,
                _actions.Action(Point.STEP, '', self.instance, self.wake),
            )

    def note_begun(self) -> None:
        for running in self.model.batch.running:
            job = self.jobs.get(running.ticket)
            if job is not None and not job.begun:
                self.note_began(job, self.model.epoch)

    def note_death(self) -> None:
        self.lives = self.model.lives
        self.world.record.note(
            _facts.EngineDied(self.world.now_ms, self.instance, self.forced)
        )
        for order_id in list(self.orders):
            self.load_lost(order_id)

    def hand_out(self, output: engine_types.Output) -> None:
        job = self.jobs.get(output.ticket)
        if job is None:
            return
        if type(output) is engine_types.Token:
            self.token(job, output)
            return
        del self.jobs[output.ticket]
        self.note_over(job)
        if type(output) is engine_types.Broken:
            self.crashed(job)
            return
        if job.held:
            self.pass_token(job, _answers.tokens(job.offer.body, job.held))
        self.pass_end(job)

    def token(self, job: _endpoints.Job, output: engine_types.Token) -> None:
        if output.adapter != job.adapter:
            job.adapter = output.adapter
            self.world.record.note(
                _facts.Produced(
                    self.world.now_ms,
                    self.instance,
                    job.offer.attempt_id,
                    job.offer.request_id,
                    job.offer.adapter,
                    output.adapter,
                )
            )
        if not job.headed:
            self.head(job, output)
        elif self.world.lean:
            job.held += 1
            return
        self.pass_token(job, _answers.token(job.offer.body, output.index))

    def head(self, job: _endpoints.Job, output: engine_types.Token) -> None:
        job.headed = True
        self.reply(
            job.process,
            Point.OUTPUT,
            events.RunStarted,
            job.offer.attempt_id,
            self.model.epoch,
            _endpoints.OK,
            (),
            output.adapter,
        )


def slot_event(slot: endpoint.Slot) -> events.SlotState:
    """Return a slot as events carry it."""
    ready = slot.state is endpoint.SlotState.READY
    return events.SlotState(slot.slot, slot.adapter, ready)
