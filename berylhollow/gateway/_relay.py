"""Pass the answer of one attempt from its link to its caller."""

import asyncio
import typing

from berylhollow import effects
from berylhollow import messages
from berylhollow import stream

MAXIMUM_PENDING_BYTES = 4 * 1024 * 1024
"""More than any sidecar may send unacknowledged; beyond it one is broken."""

Frame = messages.Data | messages.End
Send = typing.Callable[[str, messages.Message], None]


class OverrunError(stream.StreamError):
    """The peer sent more than it may without an acknowledgement."""


class Relay:
    """The frames of one attempt on their way to the caller.

    The link's side gives frames to ``accept``; the caller's side takes them,
    joined, from ``take`` and reports with ``taken`` that the caller's
    connection has them. Only then they are acknowledged, so that a slow
    caller slows down its own endpoint's answer and nothing else.
    """

    def __init__(self, begin: effects.BeginAnswer, send: Send):
        self.begin = begin
        self.send = send
        self.receiver = stream.StreamReceiver(begin.attempt_id)
        self.pending: list[bytes] = []
        self.pending_bytes = 0
        self.complete = False
        self.failure: effects.BreakAnswer | None = None
        self.resumed_at: int | None = None
        self._waiter: asyncio.Future | None = None

    def accept(self, frame: Frame) -> bool:
        """Take a frame; False if earlier ones have to come first.

        Raises StreamError if this answer can't become whole any more.
        """
        try:
            payload = self.receiver.accept(frame)
        except stream.GapError:
            self._ask_again()
            return False
        if payload is not None:
            self.pending.append(payload)
            self.pending_bytes += len(payload)
            if self.pending_bytes > MAXIMUM_PENDING_BYTES:
                raise OverrunError(f'{self.begin.attempt_id}: overrun')
            self._wake()
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
        self._send(self.receiver.resume())

    def finish(self, count: int) -> None:
        """Complete the answer; raises StreamError if frames are missing."""
        self.receiver.accept(messages.End(self.begin.attempt_id, count))
        self.complete = True
        self._wake()

    def fail(self, effect: effects.BreakAnswer) -> None:
        """End the answer as broken, after what has arrived."""
        self.failure = effect
        self._wake()

    async def take(self) -> list[bytes]:
        """Return the payloads that came, an empty list at the end."""
        if not self.pending and not self.complete and not self.failure:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        payloads = self.pending
        self.pending = []
        self.pending_bytes = 0
        return payloads

    def taken(self, frames: int) -> None:
        """Note that the caller's connection took the next ``frames``."""
        self.receiver.consumed(frames)
        acknowledgement = self.receiver.acknowledgement()
        if acknowledgement is not None:
            self._send(acknowledgement)

    def _send(self, message: messages.Message) -> None:
        self.send(self.begin.peer, message)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
