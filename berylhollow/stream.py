"""The stream of one attempt's answer across links, without I/O.

The sidecar numbers what the endpoint answers; the gateway puts it together.
Links break and are made anew in the middle of an answer, so each side keeps
just enough to go on where the other one is: the sender what is not yet
acknowledged, the receiver the number that comes next. The end is a frame of
its own, numbered like the others. Without it a stream is not complete: a
caller then gets an error, never a shortened answer that looks whole.
"""

import collections

from berylhollow import messages

ACKNOWLEDGE_FRAMES = 32
"""A receiver acknowledges at least each time it consumed this many frames."""

ACKNOWLEDGE_BYTES = 16 * 1024
"""A receiver acknowledges at least each time it consumed this many bytes."""

FRAME_BYTES = 64
"""What a kept frame counts beside its payload, so that empty ones count."""

MINIMUM_LIMIT_BYTES = 2 * ACKNOWLEDGE_BYTES
"""Below this a sender might wait for an acknowledgement that is not due."""


class StreamError(Exception):
    """A stream can't go on."""


class GapError(StreamError):
    """Frames are missing before this one: ask for them with a resume."""


class CorruptError(StreamError):
    """The peer contradicts itself; the stream can't be trusted any more."""


class ResumeImpossibleError(StreamError):
    """The frames asked for were dropped already, or never sent."""


class PausedError(StreamError):
    """A push although the sender holds as much as it may."""


class StreamSender:
    """Number the frames of one attempt and keep them until acknowledged.

    It holds at most ``limit_bytes`` and one payload more: while ``paused``
    the owner must not read on from the endpoint.
    """

    def __init__(self, attempt_id: str, limit_bytes: int):
        if limit_bytes < MINIMUM_LIMIT_BYTES:
            raise ValueError(f'limit below {MINIMUM_LIMIT_BYTES} bytes')
        self.attempt_id = attempt_id
        self.limit_bytes = limit_bytes
        self.kept: collections.deque[messages.Data | messages.End] = (
            collections.deque()
        )
        self.kept_bytes = 0
        self.first_kept = 0
        self.next_sequence = 0
        self.finished = False

    @property
    def paused(self) -> bool:
        """Whether the owner must wait for an acknowledgement."""
        return self.kept_bytes >= self.limit_bytes

    @property
    def released(self) -> bool:
        """Whether all frames and the end were acknowledged."""
        return self.finished and not self.kept

    def push(self, payload: bytes) -> messages.Data:
        """Return the next frame. Raises PausedError while paused."""
        if self.paused:
            raise PausedError(f'{self.attempt_id}: push while paused')
        frame = messages.Data(self.attempt_id, self.next_sequence, payload)
        self._keep(frame, FRAME_BYTES + len(payload))
        return frame

    def finish(self) -> messages.End:
        """Return the end, which is sent again like any other frame."""
        frame = messages.End(self.attempt_id, self.next_sequence)
        self._keep(frame, FRAME_BYTES)
        self.finished = True
        return frame

    def acknowledge(self, next_sequence: int) -> None:
        """Drop all before ``next_sequence``; an older one changes nothing.

        Raises CorruptError if it lies beyond what was sent.
        """
        if next_sequence > self.next_sequence:
            raise CorruptError(f'{self.attempt_id}: acknowledged the unsent')
        while self.first_kept < next_sequence:
            self.kept_bytes -= _size(self.kept.popleft())
            self.first_kept += 1

    def resume(self, next_sequence: int) -> list[messages.Data | messages.End]:
        """Return the frames to send again, from ``next_sequence`` on.

        A receiver that asks for a frame has all before it. Raises
        ResumeImpossibleError if the frame was dropped or never sent.
        """
        if not self.first_kept <= next_sequence <= self.next_sequence:
            raise ResumeImpossibleError(
                f'{self.attempt_id}: frame {next_sequence} is not in '
                f'{self.first_kept}..{self.next_sequence}'
            )
        skipped = next_sequence - self.first_kept
        return list(self.kept)[skipped:]

    def _keep(self, frame: messages.Data | messages.End, size: int):
        if self.finished:
            raise StreamError(f'{self.attempt_id}: is finished')
        self.kept.append(frame)
        self.kept_bytes += size
        self.next_sequence += 1


class StreamReceiver:
    """Put the frames of one attempt together: in order, each once.

    ``complete`` is true only once the end came and all before it.
    ``duplicates`` counts frames that came again after a reconnect, ``late``
    those of another attempt.
    """

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id
        self.next_sequence = 0
        self.complete = False
        self.duplicates = 0
        self.late = 0
        self.unconsumed: collections.deque[int] = collections.deque()
        self.consumed_frames = 0
        self.consumed_bytes = 0
        self.acknowledged = 0
        self.acknowledge_again = False

    def accept(self, frame: messages.Data | messages.End) -> bytes | None:
        """Return the payload that comes next, or None if there is none.

        Raises GapError if frames are missing before this one, which is not
        kept, and CorruptError if the end contradicts the frames.
        """
        if frame.attempt_id != self.attempt_id:
            self.late += 1
            return None
        if isinstance(frame, messages.End):
            self._end(frame)
            return None
        if frame.sequence > self.next_sequence:
            raise self._ahead(frame.sequence)
        if frame.sequence < self.next_sequence:
            self.duplicates += 1
            return None
        if self.complete:
            raise CorruptError(f'{self.attempt_id}: data after the end')
        self.next_sequence += 1
        self.unconsumed.append(len(frame.payload))
        return frame.payload

    def consumed(self, frames: int = 1) -> None:
        """Note that the caller took the next ``frames`` payloads."""
        for _ in range(frames):
            self.consumed_bytes += self.unconsumed.popleft()
            self.consumed_frames += 1

    def acknowledgement(self) -> messages.Acknowledge | None:
        """Return an acknowledgement if one is due.

        It covers what the caller took, not what arrived: so a slow caller
        holds up its own endpoint's answer instead of filling this process.
        """
        at_end = self.complete and not self.unconsumed
        reached = self.consumed_frames + int(at_end)
        pending = reached - self.acknowledged
        due = (
            self.acknowledge_again
            or pending >= ACKNOWLEDGE_FRAMES
            or self.consumed_bytes >= ACKNOWLEDGE_BYTES
            or (at_end and pending > 0)
        )
        if not due:
            return None
        self.acknowledge_again = False
        self.acknowledged = reached
        self.consumed_bytes = 0
        return messages.Acknowledge(self.attempt_id, reached)

    def resume(self) -> messages.Resume:
        """Return the request to go on from here on a new link.

        An acknowledgement is due after it: the last one may have been lost
        with the old link, and a paused sender would wait for it forever.
        """
        self.acknowledge_again = True
        return messages.Resume(
            self.attempt_id, self.next_sequence + self.complete
        )

    def _end(self, frame: messages.End) -> None:
        if frame.count > self.next_sequence:
            raise self._ahead(frame.count)
        if frame.count < self.next_sequence:
            raise CorruptError(f'{self.attempt_id}: the end is too early')
        if self.complete:
            self.duplicates += 1
        self.complete = True

    def _ahead(self, sequence: int) -> StreamError:
        text = f'{self.attempt_id}: expected frame {self.next_sequence}, '
        text += f'got {sequence}'
        return CorruptError(text) if self.complete else GapError(text)


def _size(frame: messages.Data | messages.End) -> int:
    if isinstance(frame, messages.End):
        return FRAME_BYTES
    return FRAME_BYTES + len(frame.payload)
