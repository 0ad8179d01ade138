"""Detects an engine's event stream that was cut short."""

from berylhollow import answer_body
from berylhollow import endpoint

CONTENT_TYPE = 'content-type'
DONE_EVENT = b'data: [DONE]'
TAIL_BYTES = 64
"""Bytes kept of the end of a stream, enough to hold the done event."""


class EndCheck:
    """Checks whether a body that ended without an error is complete.

    Guards against an engine that dies behind a process which then ends the
    chunked body properly. HTTP shows no error, and the caller would take the
    truncated answer for a complete one. An engine's event stream therefore
    has to end with its done event.
    """

    def __init__(self, answer: endpoint.EndpointAnswer, is_engine: bool):
        self.expects_done_event = is_engine and _is_event_stream(answer)
        self.tail = b''

    def add(self, chunk: bytes) -> None:
        """Record the next chunk of the body."""
        if self.expects_done_event:
            self.tail = (self.tail + chunk[-TAIL_BYTES:])[-TAIL_BYTES:]

    def whole(self) -> bool:
        """Return whether the body is complete; call this after its end."""
        if not self.expects_done_event:
            return True
        return self.tail.rstrip().endswith(DONE_EVENT)


def _is_event_stream(answer: endpoint.EndpointAnswer) -> bool:
    return any(
        header.name.lower() == CONTENT_TYPE
        and header.value.lower().startswith(answer_body.EVENT_STREAM_TYPE)
        for header in answer.headers
    )
