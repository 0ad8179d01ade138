"""Connections to one process of an endpoint, and what they show of it."""

import enum

from berylhollow import outgoing


class Evidence(enum.Enum):
    """What shows, or fails to show, that a process has outlived its answer."""

    CHECKED = 'answered a check'
    POOLED = 'answered a check over a kept connection'
    NO_CONNECTION = 'no connection that is older than the request'
    CONNECTION_LOST = 'the connection to it was lost'
    UNANSWERED = 'did not answer a check'

    @property
    def is_proof(self) -> bool:
        """Whether the process has outlived its answer."""
        return self in (Evidence.CHECKED, Evidence.POOLED)


class Process:
    """The connections that lead to one process of an endpoint.

    One that was open before a check was sent is added once the process has
    answered that check over another: it listened all the while. Those that
    were handed over to requests stay. ``shown`` is when the last check that
    it answered was sent.
    """

    def __init__(self, connection: outgoing.Connection):
        self.connections = [connection]
        self.shown: float | None = None

    @property
    def open_connections(self) -> list[outgoing.Connection]:
        """Return the connections that a check may be sent over."""
        return [x for x in self.all_open if not x.is_handed_over]

    @property
    def all_open(self) -> list[outgoing.Connection]:
        """Return the open connections, with those that requests may use."""
        return [x for x in self.connections if x.is_connected()]

    def got_request(self, answering: outgoing.Connection) -> bool:
        """Tell whether a request on a connection reached this process.

        It did if a connection here is older than that one, or was answered on
        before the request was sent. One that is newer than a reused one may
        still wait to be accepted, by a next start with the same listening
        socket.
        """
        asked = answering.asked
        is_reused = answered_before(answering, asked)
        before = answering.opened if is_reused else asked
        return any(
            x.opened <= before or answered_before(x, asked)
            for x in self.all_open
            if x is not answering
        )


def answered_before(connection: outgoing.Connection, at: float) -> bool:
    """Tell whether a connection has had an answer before a time."""
    answered = connection.answered
    return answered is not None and answered < at
