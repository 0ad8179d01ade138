"""Read the body of an endpoint's answer and tell where it ends."""

import collections.abc
import enum

import aiohttp

from berylhollow import liveness
from berylhollow import outgoing

EVENT_STREAM_TYPE = 'text/event-stream'
TAIL_BYTES = 1024
"""Bytes kept of the end of an event stream. An event may be longer; only the
comments after the last one have to fit."""


class BodyTruncated(outgoing.CallOutcomeUnknown):
    """A body that ended and shows that it is not whole."""


class EndUnproven(BodyTruncated):
    """A body that may be whole: its endpoint hasn't crashed, nor answered."""


class Framing(enum.Enum):
    """What marks the end of a body."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


def framing(response: outgoing.Response) -> Framing:
    """Return what marks the end of a response's body, NONE without one."""
    if response.is_delimited_by_close:
        return Framing.CONNECTION
    if response.is_chunked:
        return Framing.CHUNKS
    if response.content_length is not None:
        return Framing.LENGTH
    return Framing.NONE


class EventStreamEnd:
    """Tells whether the bytes of an event stream end between two events.

    An event ends with a blank line; a line ends with LF, CRLF or CR. Comment
    lines may follow an event.
    """

    def __init__(self):
        self.tail = b''
        self.has_event = False
        self.is_tail_whole = True

    def add(self, part: bytes) -> None:
        """Note the next part of the stream."""
        tail = self.tail + part[-TAIL_BYTES:]
        if not self.has_event:
            self.has_event = any(map(_is_field, part.splitlines()))
        if len(part) > TAIL_BYTES or len(tail) > TAIL_BYTES:
            self.is_tail_whole = False
        self.tail = tail[-TAIL_BYTES:]

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream, if it ended here, would end inside an event."""
        lines = self.tail.splitlines(keepends=True)
        if not lines:
            return False
        if not _ends_line(lines):
            return True
        for line in reversed(lines if self.is_tail_whole else lines[1:]):
            if not line.strip(b'\r\n'):
                return False
            if _is_field(line):
                return True
        return not self.is_tail_whole


def _ends_line(lines: list[bytes]) -> bool:
    """Return whether the last line has its line end.

    A CR at the end is taken for half of a CRLF, unless the line before it
    ends with a CR alone.
    """
    if not lines[-1].endswith(b'\r'):
        return lines[-1].endswith(b'\n')
    return len(lines) > 1 and lines[-2].endswith(b'\r')


def _is_field(line: bytes) -> bool:
    return bool(line.strip(b'\r\n')) and not line.startswith(b':')


class BodyReader:
    """Reads the body of one answer.

    ``size_bytes`` is what has been read. ``stream_end`` is None for a body
    that is not a readable event stream. ``evidence`` is what shows whether the
    endpoint has outlived its answer, None if nothing was asked.
    """

    def __init__(
        self,
        response: outgoing.Response,
        begin_observation: collections.abc.Callable[
            [outgoing.Connection], liveness.Observation
        ],
    ):
        self.response = response
        self.framing = framing(response)
        self.size_bytes = 0
        self.stream_end: EventStreamEnd | None = None
        if _is_readable_event_stream(response):
            self.stream_end = EventStreamEnd()
        self.evidence: liveness.Evidence | None = None
        self.observation: liveness.Observation | None = None
        if self.framing is Framing.CONNECTION:
            self.observation = begin_observation(response.protocol)

    @property
    def ended_inside_event(self) -> bool:
        """Whether the body is an event stream that ended inside an event."""
        return self.stream_end is not None and self.stream_end.is_inside_event

    async def parts(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in parts as they arrive; its end means it is whole.

        Raises ``outgoing.CallOutcomeUnknown`` if the body ends early. A body
        without length or chunks ends with its connection: it counts as whole
        unless the connection was reset, or the body is an event stream that
        ends inside an event or has none.
        """
        content = self.response.content
        try:
            while part := await content.readany():
                self.size_bytes += len(part)
                if self.stream_end is not None:
                    self.stream_end.add(part)
                yield part
        except (aiohttp.ClientError, OSError) as error:
            raise outgoing.CallOutcomeUnknown(
                str(error) or type(error).__name__
            ) from error
        reason = self._broken_off_reason()
        if reason:
            raise BodyTruncated(reason)

    async def check_endpoint_lives(self) -> None:
        """Raise BodyTruncated unless the endpoint has outlived the body.

        Only needed where nothing but the connection marks the body's end: an
        endpoint that crashes between two events, or in a plain body, closes
        its connection as one does that has finished.
        """
        if self.observation is None:
            return
        self.evidence = await self.observation.evidence()
        if self.evidence.is_proof:
            return
        reason = f'endpoint: {self.evidence.value}'
        if self.evidence is liveness.Evidence.UNANSWERED:
            raise EndUnproven(reason)
        raise BodyTruncated(reason)

    def close(self) -> None:
        """Close the connection, unless the whole body was read."""
        if self.observation is not None:
            self.observation.end()
        self.response.close()

    def _broken_off_reason(self) -> str:
        """Return how a body that has ended shows that it is not whole."""
        if self.ended_inside_event:
            return 'event stream ended inside an event'
        if self.framing is not Framing.CONNECTION:
            return ''
        if self.response.was_reset:
            return 'connection reset before the end of the body'
        if self.response.was_closed_here:
            return 'connection closed here before the end of the body'
        if self.stream_end is not None and not self.stream_end.has_event:
            return 'event stream without a length ended before an event'
        return ''


def _is_readable_event_stream(response: aiohttp.ClientResponse) -> bool:
    """Return whether a body is an event stream that is not compressed."""
    coding = response.headers.get('Content-Encoding', 'identity')
    return (
        response.content_type == EVENT_STREAM_TYPE
        and coding.lower() == 'identity'
    )
