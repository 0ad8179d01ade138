"""A sidecar of the world: runs at its endpoint and orders to it."""

import collections
import dataclasses
import typing

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.replay import _actions
from berylhollow.replay import _facts
from berylhollow.replay import _network
from berylhollow.replay import _processes
from berylhollow import stream

if typing.TYPE_CHECKING:
    from berylhollow.replay import _endpoints

Point = _actions.Point
SENDER_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A run at the endpoint, as the sidecar's shell follows it.

    ``backlog`` is what came from the endpoint while the sender was paused.
    """

    attempt_id: str
    peer: str
    sender: stream.StreamSender
    backlog: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    whole: bool = False


class SidecarProcess(_processes.Process):
    """A sidecar: the runs at its endpoint and the orders to it."""

    role = events.Role.ENDPOINT

    def __init__(self, world, instance, incarnation, reduce, state, endpoint):
        super().__init__(world, instance, incarnation, reduce, state)
        self.endpoint: _endpoints.Driver = endpoint
        self.runs: dict[str, Run] = {}
        self.orders: set[str] = set()
        self.handlers |= {
            effects.ReadStatus: self.read_status,
            effects.LoadAdapter: self.load_adapter,
            effects.StartRun: self.start_run,
            effects.CancelRun: self.cancel_run,
            effects.ResendFrames: self.resend_frames,
            effects.ForgetRun: self.forget_run,
        }

    def running(self) -> tuple[str, ...]:
        return self.endpoint.running_for(self)

    def cut_off(self) -> None:
        self.endpoint.abandon(self)

    # Effects

    def read_status(self, effect: effects.ReadStatus) -> None:
        self.call(Point.STATUS, self.endpoint.status)

    def load_adapter(self, effect: effects.LoadAdapter) -> None:
        self.orders.add(effect.order_id)
        self.call(Point.ORDER, self.endpoint.load, effect)
        self.world.schedule(
            effect.timeout_ms,
            Point.OTHER,
            'timeout',
            self.instance,
            self.receive,
            self.load_answered,
            events.LoadFailed,
            effect.order_id,
            events.Certainty.UNKNOWN,
            events.LoadFailure.NO_ANSWER,
        )

    def start_run(self, effect: effects.StartRun) -> None:
        sender = stream.StreamSender(effect.attempt_id, SENDER_BYTES)
        self.runs[effect.attempt_id] = Run(
            effect.attempt_id, effect.peer, sender
        )
        self.call(Point.SUBMIT, self.endpoint.submit, effect)

    def cancel_run(self, effect: effects.CancelRun) -> None:
        self.call(Point.CANCEL, self.endpoint.cancel, effect.attempt_id)

    def call(self, point: Point, ask, *arguments: object) -> None:
        """Ask the endpoint for something, after the latency."""
        self.world.schedule(
            self.world.latencies.endpoint_ms,
            point,
            '',
            self.instance,
            ask,
            self,
            *arguments,
        )

    def resend_frames(self, effect: effects.ResendFrames) -> None:
        run = self.runs.get(effect.attempt_id)
        if run is None:
            return
        run.peer = effect.peer
        try:
            frames = run.sender.resume(effect.next_sequence)
        except stream.StreamError:
            return
        for frame in frames:
            if not isinstance(frame, messages.End):
                self.send_data(run, frame)

    def forget_run(self, effect: effects.ForgetRun) -> None:
        self.runs.pop(effect.attempt_id, None)

    # The endpoint's answers

    def produced(self, attempt_id: str, payload: bytes) -> None:
        """Pass a part of an answer on, as far as the gateway takes it."""
        run = self.runs.get(attempt_id)
        if run is None or run.whole:
            return
        run.backlog.append(payload)
        self.pump(run)

    def load_answered(
        self, kind: type, order_id: str, *values: object
    ) -> None:
        """Take the answer to a load order, or that none came in time."""
        if order_id in self.orders:
            self.orders.remove(order_id)
            self.told(kind, order_id, *values)

    def finished(self, attempt_id: str) -> None:
        """The endpoint's answer is whole."""
        run = self.runs.get(attempt_id)
        if run is None:
            return
        run.whole = True
        self.pump(run)

    def pump(self, run: Run) -> None:
        sender = run.sender
        while run.backlog and not sender.is_paused:
            self.send_data(run, sender.push(run.backlog.popleft()))
        if run.whole and not run.backlog and not sender.finished:
            count = sender.next_sequence
            sender.finish()
            self.told(events.RunEnded, run.attempt_id, count)

    def send_data(self, run: Run, frame) -> None:
        data = messages.Data(run.attempt_id, frame.sequence, frame.payload)
        self.send_message(run.peer, data)

    # Links

    def message(self, link: _network.Link, message: messages.Message) -> None:
        kind = type(message)
        if kind is messages.Acknowledge:
            self.acknowledged(message)
            return
        if kind is messages.Offer:
            self.world.record.note(
                _facts.Offered(
                    self.world.now_ms,
                    self.instance,
                    self.incarnation,
                    message,
                )
            )
        super().message(link, message)

    def acknowledged(self, message: messages.Acknowledge) -> None:
        run = self.runs.get(message.attempt_id)
        if run is None:
            return
        try:
            run.sender.acknowledge(message.next_sequence)
        except stream.StreamError:
            return
        self.pump(run)
