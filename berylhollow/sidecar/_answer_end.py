"""Tell a whole event stream of an engine from one that was cut short."""

from berylhollow import endpoint

CONTENT_TYPE = 'content-type'
EVENT_STREAM = 'text/event-stream'
DONE_EVENT = b'data: [DONE]'
TAIL_BYTES = 64
"""As much of the end of an event stream as the done event can take."""


class EndCheck:
    """Says whether a body that ended without an error is whole.

    Guards against an engine that dies behind a process which then ends the
    chunks properly: HTTP shows nothing, and the caller would see a shortened
    answer that looks whole. So an engine's event stream has to close with
    its done event.
    """

    def __init__(self, answer: endpoint.EndpointAnswer, engine: bool):
        self.needed = engine and _is_event_stream(answer)
        self.tail = b''

    def add(self, chunk: bytes) -> None:
        """Take note of the next part of the body."""
        if self.needed:
            self.tail = (self.tail + chunk[-TAIL_BYTES:])[-TAIL_BYTES:]

    def whole(self) -> bool:
        """Tell whether the body is whole, now that it ended."""
        if not self.needed:
            return True
        return self.tail.rstrip().endswith(DONE_EVENT)


def _is_event_stream(answer: endpoint.EndpointAnswer) -> bool:
    return any(
        header.name.lower() == CONTENT_TYPE
        and header.value.lower().startswith(EVENT_STREAM)
        for header in answer.headers
    )
