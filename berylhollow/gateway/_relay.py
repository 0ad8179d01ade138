"""Pass the answer of one attempt from its link to its caller."""

import asyncio
import collections
import typing

from berylhollow import effects
from berylhollow import messages
from berylhollow import stream

MAXIMUM_PENDING_BYTES = 4 * 1024 * 1024
"""More than any sidecar may send unacknowledged; beyond it one is broken."""

END_OF_PART = b'\n\n'

Frame = messages.Data | messages.End
Send = typing.Callable[[str, messages.Message], None]


class OverrunError(stream.StreamError):
    """The peer sent more than it may without an acknowledgement."""


class Sink(typing.Protocol):
    """The caller's side of an answer."""

    def put(self, payload: bytes) -> bool:
        """Write a payload; False if no more is taken for now."""


class Relay:
    """The frames of one attempt on their way to the caller.

    While the caller's connection takes them, payloads go straight through:
    no task wakes for a token. Once it takes no more, the relay is
    ``blocked``, keeps what comes and wakes the task in ``wait``. A payload
    is acknowledged only when the connection has taken it, so that a slow
    caller slows down its own endpoint's answer and nothing else.
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
        self.resumed_at: int | None = None
        self._waiter: asyncio.Future | None = None

    def open(self, sink: Sink) -> None:
        """Let payloads go to the caller, beginning with those that wait."""
        self.sink = sink
        self._flow()

    def accept(self, frame: Frame) -> bool:
        """Take a frame; False if earlier ones have to come first.

        Raises StreamError if this answer can't become whole any more.
        """
        try:
            payload = self.receiver.accept(frame)
        except stream.GapError:
            self._ask_again()
            return False
        if payload is None:
            return True
        if self.sink is None or self.blocked:
            self._keep(payload)
        else:
            self._pass(payload)
        return True

    def _ask_again(self) -> None:
        # After a reconnect the sidecar may go on with new frames before it
        # hears where we stopped. One question for each gap is enough; the
        # frames that follow would raise a storm of them.
        missing = self.receiver.next_sequence
        if self.resumed_at != missing:
            self.resume()

    def resume(self) -> None:
        """Ask the sidecar for everything that has not arrived."""
        self.resumed_at = self.receiver.next_sequence
        self.send(self.begin.peer, self.receiver.resume())

    def finish(self, count: int) -> None:
        """Complete the answer; raises StreamError if frames are missing."""
        self.receiver.accept(messages.End(self.begin.attempt_id, count))
        self.complete = True
        self._wake()

    def fail(self, effect: effects.BreakAnswer) -> None:
        """End the answer as broken, after what was passed on."""
        self.failure = effect
        self._wake()

    async def wait(self) -> None:
        """Return when the answer is complete, has failed or is blocked."""
        while not (self.blocked or self.complete or self.failure):
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def unblock(self) -> None:
        """Go on: the connection has taken what it was given."""
        self.blocked = False
        self.acknowledge(1)
        self._flow()

    def acknowledge(self, frames: int) -> None:
        """Note that the connection took ``frames`` more, and say so if due."""
        self.receiver.consumed(frames)
        acknowledgement = self.receiver.acknowledgement()
        if acknowledgement is not None:
            self.send(self.begin.peer, acknowledgement)

    def _flow(self) -> None:
        while self.pending and not self.blocked:
            payload = self.pending.popleft()
            self.pending_bytes -= len(payload)
            self._pass(payload)

    def _pass(self, payload: bytes) -> None:
        # Parts of an event stream are counted, never parsed: about one a
        # token, for the log line.
        self.parts += payload.count(END_OF_PART)
        if self.sink.put(payload):
            self.acknowledge(1)
        else:
            self.blocked = True
            self._wake()

    def _keep(self, payload: bytes) -> None:
        self.pending.append(payload)
        self.pending_bytes += len(payload)
        if self.pending_bytes > MAXIMUM_PENDING_BYTES:
            raise OverrunError(f'{self.begin.attempt_id}: overrun')

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
