"""One caller's request, from its arrival to the end of its answer."""

import asyncio
import logging

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _relay

LOG = logging.getLogger(__name__)

AnswerStart = effects.AnswerError | effects.AnswerStored | effects.BeginAnswer


class Exchange:
    """The shell's state of a request until its answer has ended.

    ``begun_ms`` is when its head had been read, ``arrived_ms`` when all of it.
    ``shown_id`` is the request id that the caller sees: its own, if it sent
    one. ``answer_start`` is the effect that begins the answer. The other
    attributes are written to the log line.
    """

    def __init__(
        self,
        request: events.Request,
        shown_id: str,
        begun_ms: int,
        arrived_ms: int,
        loop: asyncio.AbstractEventLoop,
    ):
        self.request = request
        self.shown_id = shown_id
        self.begun_ms = begun_ms
        self.arrived_ms = arrived_ms
        self.answer_start: asyncio.Future[AnswerStart] = loop.create_future()
        self.relay: _relay.Relay | None = None
        self.service = request.service
        self.first_byte_ms: int | None = None
        self.status = 0
        self.kind: errors.Kind | None = None
        self.ran = errors.Ran.UNKNOWN

    def begin(self, effect: AnswerStart) -> None:
        """Set the effect that begins the answer; ignore further ones."""
        if not self.answer_start.done():
            self.answer_start.set_result(effect)

    def fail(self, error: Exception) -> None:
        """End the answer because the gateway can't go on with it."""
        if not self.answer_start.done():
            self.answer_start.set_exception(error)
        elif self.relay is not None:
            self.break_off(errors.Ran.UNKNOWN)

    def break_off(self, ran: errors.Ran) -> None:
        """Break off an answer that has begun, as INTERNAL."""
        begin = self.relay.begin
        kind = errors.Kind.INTERNAL
        self.relay.fail(
            effects.BreakAnswer(begin.request_id, begin.attempt_id, kind, ran)
        )

    def record_failure(self, kind: errors.Kind, ran: errors.Ran) -> None:
        """Record how the request failed."""
        self.kind = kind
        self.ran = ran

    def log(self, now_ms: int, revision: int) -> None:
        """Write the log line of an answered request."""
        request = self.request
        adapter = request.adapter
        begin = self.relay.begin if self.relay else None
        ran_with = begin.adapter if begin else adapter
        first_byte_ms = None
        if self.first_byte_ms is not None:
            first_byte_ms = self.first_byte_ms - self.arrived_ms
        LOG.info(
            'answered',
            extra={
                'request_id': request.request_id,
                'shown_id': self.shown_id,
                'attempt_id': begin.attempt_id if begin else '',
                'caller': request.caller,
                'service': self.service,
                'adapter': adapter.adapter if adapter else '',
                'version': ran_with.version if ran_with else '',
                'endpoint': begin.peer if begin else '',
                'fingerprint': request.fingerprint,
                'revision': revision,
                'status': self.status,
                'kind': self.kind.value if self.kind else '',
                'ran': self.ran.value,
                'duration_ms': now_ms - self.arrived_ms,
                'first_byte_ms': first_byte_ms,
                'deadline_ms': request.deadline_ms,
                'stalled_ms': begin.stalled_ms if begin else None,
                'parts': self.relay.parts if self.relay else 0,
            },
        )
