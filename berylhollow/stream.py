"""Reliable transfer of one attempt's answer across links, without I/O.

The sidecar numbers the frames of the endpoint's answer, and the gateway
reassembles them. A link may break and be replaced in the middle of an answer,
so each side stores what it needs to resume: the sender the frames that are
not yet acknowledged, the receiver the next sequence number. The end is a
numbered frame of its own. Without it a stream is incomplete, and the caller
gets an error instead of a truncated answer that looks complete.
"""

import collections

from berylhollow import messages

ACKNOWLEDGE_FRAMES = 32
"""Consumed frames after which a receiver acknowledges at the latest."""

ACKNOWLEDGE_BYTES = 16 * 1024
"""Consumed bytes after which a receiver acknowledges at the latest."""

FRAME_OVERHEAD_BYTES = 64
"""Added to the payload of a stored frame, so that empty ones count too."""

MINIMUM_LIMIT_BYTES = 2 * ACKNOWLEDGE_BYTES
"""With less, a sender might wait for an acknowledgement not yet sent."""


class StreamError(Exception):
    """A stream can't continue."""


class GapError(StreamError):
    """Frames are missing before this one; a resume requests them."""


class CorruptError(StreamError):
    """The peer sent contradictory frames, so the stream is unusable."""


class ResumeImpossibleError(StreamError):
    """The requested frames were already dropped, or never sent."""


class PausedError(StreamError):
    """A push was made while the sender's buffer is full."""


class StreamSender:
    """Number the frames of one attempt and store them until acknowledged.

    It stores at most ``limit_bytes`` plus one payload. While ``is_paused`` the
    owner must stop reading from the endpoint.
    """

    def __init__(self, attempt_id: str, limit_bytes: int):
        if limit_bytes < MINIMUM_LIMIT_BYTES:
            raise ValueError(f'limit below {MINIMUM_LIMIT_BYTES} bytes')
        self.attempt_id = attempt_id
        self.limit_bytes = limit_bytes
        self.stored: collections.deque[messages.Data | messages.End] = (
            collections.deque()
        )
        self.stored_bytes = 0
        self.first_stored = 0
        self.next_sequence = 0
        self.finished = False

    @property
    def is_paused(self) -> bool:
        """Whether the owner must wait for an acknowledgement."""
        return self.stored_bytes >= self.limit_bytes

    @property
    def is_fully_acknowledged(self) -> bool:
        """Whether all frames including the end were acknowledged."""
        return self.finished and not self.stored

    def push(self, payload: bytes) -> messages.Data:
        """Return the next frame. Raises PausedError while paused."""
        if self.is_paused:
            raise PausedError(f'{self.attempt_id}: push while paused')
        frame = messages.Data(self.attempt_id, self.next_sequence, payload)
        self._store(frame, FRAME_OVERHEAD_BYTES + len(payload))
        return frame

    def finish(self) -> messages.End:
        """Return the end frame, which is resent like any other frame."""
        frame = messages.End(self.attempt_id, self.next_sequence)
        self._store(frame, FRAME_OVERHEAD_BYTES)
        self.finished = True
        return frame

    def acknowledge(self, next_sequence: int) -> None:
        """Drop the frames before ``next_sequence``, if any are stored.

        Raises CorruptError if frames are acknowledged that were never sent.
        """
        if next_sequence > self.next_sequence:
            raise CorruptError(
                f'{self.attempt_id}: acknowledged a frame that was not sent'
            )
        while self.first_stored < next_sequence:
            self.stored_bytes -= _counted_bytes(self.stored.popleft())
            self.first_stored += 1

    def resume(self, next_sequence: int) -> list[messages.Data | messages.End]:
        """Return the frames to resend, from ``next_sequence`` on.

        The receiver has all frames before it. Raises ResumeImpossibleError
        if the frame was already dropped or never sent.
        """
        if not self.first_stored <= next_sequence <= self.next_sequence:
            raise ResumeImpossibleError(
                f'{self.attempt_id}: frame {next_sequence} is not in '
                f'{self.first_stored}..{self.next_sequence}'
            )
        skipped = next_sequence - self.first_stored
        return list(self.stored)[skipped:]

    def _store(self, frame: messages.Data | messages.End, size: int):
        if self.finished:
            raise StreamError(f'{self.attempt_id}: already finished')
        self.stored.append(frame)
        self.stored_bytes += size
        self.next_sequence += 1


class StreamReceiver:
    """Reassemble the frames of one attempt in order, without duplicates.

    ``complete`` is true once the end and all frames before it have arrived.
    ``duplicates`` counts frames that were received again after a reconnect,
    ``late`` those of another attempt.
    """

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id
        self.next_sequence = 0
        self.complete = False
        self.duplicates = 0
        self.late = 0
        self.unconsumed_sizes: collections.deque[int] = collections.deque()
        self.consumed_frames = 0
        self.consumed_bytes = 0
        self.acknowledged = 0
        self.must_acknowledge = False

    def accept(self, frame: messages.Data | messages.End) -> bytes | None:
        """Return the payload of a new frame, None for any other frame.

        Raises GapError if frames are missing before this one, which is then
        dropped, and CorruptError if the end contradicts the frames.
        """
        if frame.attempt_id != self.attempt_id:
            self.late += 1
            return None
        if isinstance(frame, messages.End):
            self._accept_end(frame)
            return None
        if frame.sequence > self.next_sequence:
            raise self._missing_frames_error(frame.sequence)
        if frame.sequence < self.next_sequence:
            self.duplicates += 1
            return None
        if self.complete:
            raise CorruptError(f'{self.attempt_id}: data after the end')
        self.next_sequence += 1
        self.unconsumed_sizes.append(len(frame.payload))
        return frame.payload

    def mark_consumed(self, frames: int = 1) -> None:
        """Record that the caller consumed the next ``frames`` payloads."""
        for _ in range(frames):
            self.consumed_bytes += self.unconsumed_sizes.popleft()
            self.consumed_frames += 1

    def due_acknowledgement(self) -> messages.Acknowledge | None:
        """Return an acknowledgement if one is due.

        It covers what the caller consumed, not what arrived, so that a slow
        caller slows down its endpoint's answer instead of filling the memory
        of this process.
        """
        all_consumed = self.complete and not self.unconsumed_sizes
        consumed_sequence = self.consumed_frames + int(all_consumed)
        pending = consumed_sequence - self.acknowledged
        is_due = (
            self.must_acknowledge
            or pending >= ACKNOWLEDGE_FRAMES
            or self.consumed_bytes >= ACKNOWLEDGE_BYTES
            or (all_consumed and pending > 0)
        )
        if not is_due:
            return None
        self.must_acknowledge = False
        self.acknowledged = consumed_sequence
        self.consumed_bytes = 0
        return messages.Acknowledge(self.attempt_id, consumed_sequence)

    def resume(self) -> messages.Resume:
        """Return the request to continue the stream on a new link.

        The next acknowledgement is due at once, as the last one may have been
        lost with the old link and a paused sender would wait for it forever.
        """
        self.must_acknowledge = True
        return messages.Resume(
            self.attempt_id, self.next_sequence + self.complete
        )

    def _accept_end(self, frame: messages.End) -> None:
        if frame.count > self.next_sequence:
            raise self._missing_frames_error(frame.count)
        if frame.count < self.next_sequence:
            raise CorruptError(f'{self.attempt_id}: the end is too early')
        if self.complete:
            self.duplicates += 1
        self.complete = True

    def _missing_frames_error(self, sequence: int) -> StreamError:
        text = f'{self.attempt_id}: expected frame {self.next_sequence}, '
        text += f'got {sequence}'
        return CorruptError(text) if self.complete else GapError(text)


def _counted_bytes(frame: messages.Data | messages.End) -> int:
    if isinstance(frame, messages.End):
        return FRAME_OVERHEAD_BYTES
    return FRAME_OVERHEAD_BYTES + len(frame.payload)
