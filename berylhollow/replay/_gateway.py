"""A gateway of the world: callers' exchanges and their answers."""

import dataclasses

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.replay import _facts
from berylhollow.replay import _network
from berylhollow.replay import _processes
from berylhollow import stream

STORED_BODY_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Relay:
    """An answer on its way through a gateway."""

    begin: effects.BeginAnswer
    exchange: _facts.Exchange
    receiver: stream.StreamReceiver
    resumed_at: int | None = None


class GatewayProcess(_processes.Process):
    """A gateway: callers' exchanges, and the relays of their answers."""

    role = events.Role.GATEWAY

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.exchanges: dict[str, _facts.Exchange] = {}
        self.relays: dict[str, Relay] = {}
        self.handlers |= {
            effects.AnswerError: self.answer_error,
            effects.AnswerStored: self.answer_stored,
            effects.BeginAnswer: self.begin_answer,
            effects.CompleteAnswer: self.complete_answer,
            effects.ResumeAnswer: self.resume_answer,
            effects.BreakAnswer: self.break_answer,
        }

    def waiting(self) -> tuple[str, ...]:
        return tuple(self.exchanges)

    def cut_off(self) -> None:
        for carry_out, arguments in self.inbox:
            if carry_out == self.request:
                exchange: _facts.Exchange = arguments[0]
                self.exchanges[exchange.request.request_id] = exchange
        for request_id in list(self.exchanges):
            self.finish(request_id, _facts.Ending.DISCONNECTED)

    # Callers

    def request(self, exchange: _facts.Exchange) -> None:
        """Take a caller's request."""
        request = exchange.request
        exchange.arrived_ms = self.world.now_ms
        exchange.process = self
        self.exchanges[request.request_id] = exchange
        seed = self.world.random.random()
        self.told(events.RequestArrived, request, seed)

    def caller_gone(self, request_id: str) -> None:
        if self.exchanges.pop(request_id, None) is not None:
            self.told(events.CallerGone, request_id)

    def finish(self, request_id: str, ending, kind=None, ran=None) -> None:
        """Give a caller its final answer."""
        exchange = self.exchanges.pop(request_id, None)
        if exchange is None:
            return
        exchange.end(self.world.now_ms, ending, kind, ran)
        self.world.record.note(_facts.Answered(self.world.now_ms, exchange))

    def answer_error(self, effect: effects.AnswerError) -> None:
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.retry_after_ms = effect.retry_after_ms
        self.finish(
            effect.request_id, _facts.Ending.ERROR, effect.kind, effect.ran
        )

    def answer_stored(self, effect: effects.AnswerStored) -> None:
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.status = effect.status
            exchange.body += effect.body
        self.finish(effect.request_id, _facts.Ending.STORED)

    # Relays

    def begin_answer(self, effect: effects.BeginAnswer) -> None:
        exchange = self.exchanges.get(effect.request_id)
        if exchange is None:
            return
        exchange.status = effect.status
        exchange.adapter = effect.adapter
        self.relays[effect.attempt_id] = Relay(
            effect, exchange, stream.StreamReceiver(effect.attempt_id)
        )

    def complete_answer(self, effect: effects.CompleteAnswer) -> None:
        relay = self.relays.get(effect.attempt_id)
        if relay is None:
            return
        end = messages.End(effect.attempt_id, effect.count)
        try:
            relay.receiver.accept(end)
        except stream.StreamError:
            self.broken(relay)
            return
        self.acknowledge(relay)
        del self.relays[effect.attempt_id]
        self.finish(effect.request_id, _facts.Ending.WHOLE)
        self.told(
            events.AnswerRelayed,
            effect.request_id,
            effect.attempt_id,
            relay.begin.status,
            relay.begin.headers,
            stored_body(relay.exchange),
        )

    def break_answer(self, effect: effects.BreakAnswer) -> None:
        self.relays.pop(effect.attempt_id, None)
        self.finish(
            effect.request_id, _facts.Ending.BROKEN, effect.kind, effect.ran
        )

    def resume_answer(self, effect: effects.ResumeAnswer) -> None:
        relay = self.relays.get(effect.attempt_id)
        if relay is None:
            question = messages.Resume(effect.attempt_id, 0)
            self.send_message(effect.peer, question)
        else:
            self.ask_again(relay)

    def ask_again(self, relay: Relay) -> None:
        question = relay.receiver.resume()
        relay.resumed_at = relay.receiver.next_sequence
        self.send_message(
            relay.begin.peer,
            messages.Resume(question.attempt_id, question.next_sequence),
        )

    def broken(self, relay: Relay) -> None:
        begin = relay.begin
        self.told(events.AnswerBroken, begin.request_id, begin.attempt_id)

    # Links

    def message(self, link: _network.Link, message: messages.Message) -> None:
        kind = type(message)
        if kind is not messages.Data and kind is not messages.End:
            super().message(link, message)
            return
        relay = self.relays.get(message.attempt_id)
        peer = link.other(self).instance
        if relay is None or relay.begin.peer != peer:
            self.counts['late_frames'] += 1
        elif self.accept(relay, message) and kind is messages.End:
            super().message(link, message)

    def accept(self, relay: Relay, frame) -> bool:
        """Take a frame; False if it can't be used as yet, or at all."""
        try:
            payload = relay.receiver.accept(frame)
        except stream.GapError:
            if relay.resumed_at != relay.receiver.next_sequence:
                self.ask_again(relay)
            return False
        except stream.StreamError:
            self.broken(relay)
            return False
        if payload is not None:
            self.pass_on(relay, payload)
        return True

    def pass_on(self, relay: Relay, payload: bytes) -> None:
        exchange = relay.exchange
        if exchange.ending is None:
            if exchange.first_byte_ms is None:
                exchange.first_byte_ms = self.world.now_ms
            exchange.body += payload
            self.world.record.note(
                _facts.Relayed(self.world.now_ms, exchange, len(payload))
            )
        relay.receiver.mark_consumed()
        self.acknowledge(relay)

    def acknowledge(self, relay: Relay) -> None:
        due = relay.receiver.due_acknowledgement()
        if due is not None:
            self.send_message(
                relay.begin.peer,
                messages.Acknowledge(due.attempt_id, due.next_sequence),
            )


def stored_body(exchange: _facts.Exchange) -> bytes | None:
    """Return the body to keep for a request with a key."""
    small = len(exchange.body) <= STORED_BODY_BYTES
    if exchange.request.key is None or not small:
        return None
    return bytes(exchange.body)
