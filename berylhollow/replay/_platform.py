"""The platform's log and instance list, as processes reach them."""

import dataclasses
import typing

from berylhollow import effects
from berylhollow import events
from berylhollow import log_service
from berylhollow.replay import _actions
from berylhollow.standin import failures
from berylhollow.standin import faults
from berylhollow.standin import instances
from berylhollow.standin import log

if typing.TYPE_CHECKING:
    from berylhollow.replay import _processes
    from berylhollow.replay import _world

Point = _actions.Point
CALL_TIMEOUT_MS = 3000
READ_LIMIT = 1000
ROLES = {
    log_service.Role.GATEWAY: events.Role.GATEWAY,
    log_service.Role.ENDPOINT: events.Role.ENDPOINT,
}


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One append or read of a process, answered at most once.

    After ``CALL_TIMEOUT_MS`` the process is told that no answer came, while
    the call itself may still take effect.
    """

    process: '_processes.Process'
    effect: effects.Append | effects.ReadLog
    answered: bool = False


class LogDriver:
    """Carries appends and reads to the model of the log."""

    def __init__(self, world: '_world.World', model: log.LogModel):
        self.world = world
        self.model = model
        self.waiting: dict[str, list[Call]] = {}

    @property
    def faults(self) -> faults.FaultSwitches:
        return self.model.faults

    def append(
        self, process: '_processes.Process', effect: effects.Append
    ) -> None:
        """Send a record to the log."""
        call = Call(process, effect)
        self.send(Point.APPEND, call, self.take, 0)

    def read(
        self, process: '_processes.Process', effect: effects.ReadLog
    ) -> None:
        """Ask the log for records."""
        call = Call(process, effect)
        self.send(Point.READ, call, self.look, effect.wait_ms)

    def send(self, point: Point, call: Call, arrive, wait_ms: float) -> None:
        now_ms = self.world.now_ms
        delay_ms = self.model.delay_ms(now_ms)
        delay_ms += self.world.latencies.platform_ms
        stream = call.effect.stream
        self.world.schedule(delay_ms, point, stream, 'log', arrive, call)
        timeout_ms = CALL_TIMEOUT_MS + wait_ms
        self.world.schedule(
            timeout_ms, Point.OTHER, 'timeout', 'log', self.lost, call
        )

    # At the log

    def take(self, call: Call) -> None:
        effect = call.effect
        now_ms = self.world.at_ms
        try:
            offset = self.model.append(effect.stream, effect.data, now_ms)
        except failures.AnswerLost:
            self.wake(effect.stream)
        except failures.StandInError:
            self.reply(
                call,
                events.AppendFailed,
                effect.append_id,
                events.Certainty.NOT_DONE,
            )
        else:
            self.reply(call, events.Appended, effect.append_id, offset)
            self.wake(effect.stream)

    def look(self, call: Call) -> None:
        effect = call.effect
        now_ms = self.world.at_ms
        try:
            result = self.model.read(
                effect.stream, effect.from_offset, READ_LIMIT, now_ms
            )
        except failures.OffsetGone as gone:
            self.reply(call, events.LogReadFailed, gone.first_offset)
        except failures.StandInError:
            self.reply(call, events.LogReadFailed, None)
        else:
            if result.records or not effect.wait_ms:
                self.show(call, result)
            else:
                self.hold(call, effect.wait_ms)

    def hold(self, call: Call, wait_ms: float) -> None:
        self.waiting.setdefault(call.effect.stream, []).append(call)
        self.world.schedule(
            wait_ms, Point.OTHER, 'wait', 'log', self.wait_over, call
        )

    def wait_over(self, call: Call) -> None:
        waiting = self.waiting.get(call.effect.stream, [])
        if call in waiting:
            waiting.remove(call)
            call.effect = dataclasses.replace(call.effect, wait_ms=0)
            self.look(call)

    def wake(self, stream: str) -> None:
        """Answer the reads that wait for a record of this stream."""
        for call in self.waiting.pop(stream, []):
            call.effect = dataclasses.replace(call.effect, wait_ms=0)
            self.look(call)

    def show(self, call: Call, result: log_service.ReadResult) -> None:
        self.reply(
            call,
            events.LogRead,
            result.records,
            result.first_offset,
            result.next_offset,
        )

    # Back at the process

    def reply(self, call: Call, kind: type, *values: object) -> None:
        point = Point.RECORDS
        if isinstance(call.effect, effects.Append):
            point = Point.APPENDED
        stream = call.effect.stream
        self.world.schedule(
            self.world.latencies.platform_ms,
            point,
            stream,
            call.process.instance,
            self.answer,
            call,
            kind,
            values,
        )

    def answer(self, call: Call, kind: type, values: tuple) -> None:
        if call.answered:
            return
        call.answered = True
        process = call.process
        process.receive(process.told, kind, call.effect.stream, *values)

    def lost(self, call: Call) -> None:
        """Tell the process that no answer came in time."""
        effect = call.effect
        if isinstance(effect, effects.Append):
            values = (effect.append_id, events.Certainty.UNKNOWN)
            self.answer(call, events.AppendFailed, values)
        else:
            self.answer(call, events.LogReadFailed, (None,))


class InstancesDriver:
    """Carries reads of the instance list to its model."""

    def __init__(
        self, world: '_world.World', model: instances.InstanceListModel
    ):
        self.world = world
        self.model = model

    @property
    def faults(self) -> faults.FaultSwitches:
        return self.model.faults

    def put(self, row: log_service.Instance) -> None:
        """Register an instance or change its entry."""
        self.model.put(row, self.world.at_ms)

    def read(self, process: '_processes.Process') -> None:
        """Ask for the list; the answer shows it as the list sees it then."""
        self.world.schedule(
            2 * self.world.latencies.platform_ms,
            Point.LISTED,
            '',
            process.instance,
            self.show,
            process,
        )

    def show(self, process: '_processes.Process') -> None:
        rows = tuple(
            row_event(row) for row in self.model.visible(self.world.at_ms)
        )
        process.receive(process.told, events.InstancesListed, rows)


def row_event(row: log_service.Instance) -> events.Instance:
    """Return a row of the instance list as events carry it."""
    return events.Instance(
        row.instance,
        ROLES[row.role],
        row.service,
        row.failure_domain,
        row.region,
        row.address,
        row.state is log_service.State.LEAVING,
    )
