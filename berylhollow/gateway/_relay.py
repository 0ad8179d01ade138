"""Relay the answer of one attempt from its link to its caller."""

import asyncio
import collections
import typing

from berylhollow import effects
from berylhollow import messages
from berylhollow import stream

MAXIMUM_PENDING_BYTES = 4 * 1024 * 1024
"""More than a sidecar may send unacknowledged: one that does is faulty."""

EVENT_SEPARATOR = b'\n\n'

Frame = messages.Data | messages.End
Send = typing.Callable[[str, messages.Message], None]


class OverrunError(stream.StreamError):
    """The peer sent more than allowed without an acknowledgement."""


class Sink(typing.Protocol):
    """The caller's side of an answer."""

    def put(self, payload: bytes) -> bool:
        """Write a payload; False if the connection's buffer is full."""


class Relay:
    """Relays the frames of one attempt to the caller.

    While the caller's connection accepts data, payloads are written at once,
    without waking a task for each token. When its buffer is full, the relay
    is ``blocked``, buffers further payloads and wakes the task in ``wait``.
    A payload is acknowledged only after the connection has taken it, so that
    a slow caller slows down only its own answer.
    """

    def __init__(self, begin: effects.BeginAnswer, send: Send):
        self.begin = begin
        self.send = send
        self.receiver = stream.StreamReceiver(begin.attempt_id)
        self.sink: Sink | None = None
        self.blocked = False
        self.pending: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.parts = 0
        self.complete = False
        self.failure: effects.BreakAnswer | None = None
        self.resumed_from: int | None = None
        self.longest_gap_ms = 0
        self._arrived_ms: int | None = None
        self._waiter: asyncio.Future | None = None

    def attach(self, sink: Sink) -> None:
        """Write payloads to ``sink``, starting with the buffered ones."""
        self.sink = sink
        self._write_pending()

    def note_arrival(self, at_ms: int) -> None:
        """Note when a part of the answer arrived."""
        if self._arrived_ms is not None:
            gap_ms = at_ms - self._arrived_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._arrived_ms = at_ms

    def accept(self, frame: Frame) -> bool:
        """Handle a frame; False if earlier frames are missing.

        Raises StreamError if the answer can't be completed any more.
        """
        try:
            payload = self.receiver.accept(frame)
        except stream.GapError:
            self._request_missing_frames()
            return False
        if payload is None:
            return True
        if self.sink is None or self.blocked:
            self._buffer(payload)
        else:
            self._write(payload)
        return True

    def _request_missing_frames(self) -> None:
        # After a reconnect the sidecar may send new frames before it learns
        # which ones arrived. Each gap is requested once: a request for each
        # frame that follows would flood the link.
        first_missing = self.receiver.next_sequence
        if self.resumed_from != first_missing:
            self.resume()

    def resume(self) -> None:
        """Ask the sidecar to resend the frames that have not arrived."""
        self.resumed_from = self.receiver.next_sequence
        self.send(self.begin.peer, self.receiver.resume())

    def finish(self, count: int) -> None:
        """Complete the answer; raises StreamError if frames are missing."""
        self.receiver.accept(messages.End(self.begin.attempt_id, count))
        self.complete = True
        self._wake_waiter()

    def fail(self, effect: effects.BreakAnswer) -> None:
        """End the answer as broken, after the payloads already written."""
        self.failure = effect
        self._wake_waiter()

    async def wait(self) -> None:
        """Return when the answer is complete, has failed or is blocked."""
        while not (self.blocked or self.complete or self.failure):
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def unblock(self) -> None:
        """Continue after the connection has taken the last payload."""
        self.blocked = False
        self.acknowledge(1)
        self._write_pending()

    def acknowledge(self, frames: int) -> None:
        """Count ``frames`` as taken; send an acknowledgement if one is due."""
        self.receiver.mark_consumed(frames)
        acknowledgement = self.receiver.due_acknowledgement()
        if acknowledgement is not None:
            self.send(self.begin.peer, acknowledgement)

    def _write_pending(self) -> None:
        while self.pending and not self.blocked:
            payload = self.pending.popleft()
            self.pending_bytes -= len(payload)
            self._write(payload)

    def _write(self, payload: bytes) -> None:
        # Events of an event stream, about one per token, are counted for the
        # log line without parsing them.
        self.parts += payload.count(EVENT_SEPARATOR)
        if self.sink.put(payload):
            self.acknowledge(1)
        else:
            self.blocked = True
            self._wake_waiter()

    def _buffer(self, payload: bytes) -> None:
        self.pending.append(payload)
        self.pending_bytes += len(payload)
        if self.pending_bytes > MAXIMUM_PENDING_BYTES:
            raise OverrunError(
                f'{self.begin.attempt_id}: too many unacknowledged bytes'
            )

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
