"""Everything that the world does, as actions which a fault may touch."""

import collections.abc
import dataclasses
import enum
import re

NUMBER = re.compile(r'-\d+$')
"""The number of a partition, by which a stream's name may end."""


class Point(enum.StrEnum):
    """At which place of the world an action takes effect."""

    EMIT = 'emit'
    """A shell is about to carry out an effect."""
    DELIVER = 'deliver'
    """A message reaches the process at the other end of a link."""
    CONNECT = 'connect'
    """A link is asked for at the listening process."""
    LINKED = 'linked'
    """The opener of a link learns that it is open or refused."""
    CLOSED = 'closed'
    """A process learns that a link is gone."""
    APPEND = 'append'
    """A record reaches the log."""
    APPENDED = 'appended'
    """The log's answer to an append reaches its process."""
    READ = 'read'
    """A read reaches the log."""
    RECORDS = 'records'
    """The log's answer to a read reaches its process."""
    LISTED = 'listed'
    """The instance list reaches a process."""
    STATUS = 'status'
    """An endpoint is asked for its status."""
    REPORTED = 'reported'
    """The endpoint's status reaches its sidecar."""
    ORDER = 'order'
    """A load order reaches the engine."""
    WEIGHTS = 'weights'
    """The weight store's next load ends."""
    LOADED = 'loaded'
    """The engine's answer to a load order reaches its sidecar."""
    SUBMIT = 'submit'
    """A request reaches its endpoint."""
    STEP = 'step'
    """An endpoint ends a step of its work."""
    OUTPUT = 'output'
    """Part of an answer, or its end, reaches the sidecar."""
    CANCEL = 'cancel'
    """A cancel reaches the endpoint."""
    CANCELLED = 'cancelled'
    """The endpoint's confirmation of a cancel reaches the sidecar."""
    TICK = 'tick'
    """A process looks at its clock."""
    REQUEST = 'request'
    """A caller's request reaches a gateway."""
    GONE = 'gone'
    """A gateway sees that a caller has gone."""
    OTHER = 'other'
    """Anything that a test has scheduled itself."""


@dataclasses.dataclass(slots=True, eq=False)
class Action:
    """One thing that happens at ``target``.

    ``detail`` names the kind of message, effect or stream; ``subject`` is
    the message, effect or payload itself.
    """

    point: Point
    detail: str
    target: str
    carry_out: collections.abc.Callable[..., None]
    arguments: tuple = ()
    subject: object = None
    touched: bool = False

    @property
    def step(self) -> str:
        """The name under which the fault matrix lists this action.

        The partitions of a stream share one name.
        """
        if not self.detail:
            return self.point.value
        detail = NUMBER.sub('', self.detail)
        return f'{self.point} {detail}'


Delays = tuple[float, ...]
"""After how many milliseconds to carry an action out, once for each entry.

An empty one drops the action, ``(0, 0)`` doubles it, ``(50,)`` delays it.
"""
