"""The world's own record of what happened, whatever the reducers think.

Only the models, the links and the callers write here, never the state of an
implementation.
"""

import collections.abc
import dataclasses
import enum

from berylhollow import errors
from berylhollow import events
from berylhollow import messages


class Ending(enum.Enum):
    """How a caller's exchange ended for the caller."""

    WHOLE = 'whole'
    STORED = 'stored'
    ERROR = 'error'
    BROKEN = 'broken'
    DISCONNECTED = 'disconnected'
    REFUSED = 'refused'
    LEFT = 'left'


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request of a caller and all that the caller got for it.

    ``ending`` is None while the caller waits. DISCONNECTED means that the
    gateway died, REFUSED that no gateway took the connection, LEFT that the
    caller itself went away. ``process`` is the one that took the request.
    """

    request: events.Request
    gateway: str
    sent_ms: float
    arrived_ms: float | None = None
    first_byte_ms: float | None = None
    ended_ms: float | None = None
    status: int | None = None
    adapter: messages.AdapterVersion | None = None
    body: bytearray = dataclasses.field(default_factory=bytearray)
    ending: Ending | None = None
    kind: errors.Kind | None = None
    ran: errors.Ran | None = None
    retry_after_ms: int = 0
    answers: int = 0
    process: object = None

    def end(
        self,
        at_ms: float,
        ending: Ending,
        kind: errors.Kind | None = None,
        ran: errors.Ran | None = None,
    ) -> None:
        """Note a final answer; only the first counts, all are counted."""
        self.answers += 1
        if self.ending is not None:
            return
        self.ended_ms = at_ms
        self.ending = ending
        self.kind = kind
        self.ran = ran


@dataclasses.dataclass(frozen=True, slots=True)
class RunBegan:
    """An endpoint began to run an attempt."""

    at_ms: float
    endpoint: str
    epoch: str
    attempt_id: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Produced:
    """An attempt's output comes from ``adapter`` from here on."""

    at_ms: float
    endpoint: str
    attempt_id: str
    request_id: str
    wanted: messages.AdapterVersion | None
    adapter: messages.AdapterVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunOver:
    """An endpoint no longer works on an attempt."""

    at_ms: float
    endpoint: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTaken:
    """An engine took a load order; ``users`` are attempts in that slot."""

    at_ms: float
    endpoint: str
    slot: int
    adapter: messages.AdapterVersion
    fence: int
    users: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """An engine was given a run for an adapter that it has not loaded."""

    at_ms: float
    endpoint: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineDied:
    """An engine lost all that it held and ran.

    ``forced`` says that a fault did it, not a request.
    """

    at_ms: float
    endpoint: str
    forced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Offered:
    """An offer reached a sidecar."""

    at_ms: float
    endpoint: str
    incarnation: str
    offer: messages.Offer


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A caller got its final answer, or lost its connection."""

    at_ms: float
    exchange: Exchange


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """A caller got more bytes of its answer."""

    at_ms: float
    exchange: Exchange
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """A process showed to another which revision it has.

    ``shown`` names the message: an offer shows what is served.
    """

    at_ms: float
    instance: str
    incarnation: str
    shown: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStarted:
    """A process began."""

    at_ms: float
    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """A process was asked to shut down gracefully."""

    at_ms: float
    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessEnded:
    """A process ended; ``code`` is None if it was killed.

    ``waiting`` are requests whose callers still waited for it, ``running``
    attempts that its endpoint still ran for it.
    """

    at_ms: float
    instance: str
    incarnation: str
    code: int | None
    waiting: tuple[str, ...] = ()
    running: tuple[str, ...] = ()


Fact = (
    RunBegan
    | Produced
    | RunOver
    | SlotTaken
    | Refused
    | EngineDied
    | Offered
    | Answered
    | Relayed
    | Said
    | ProcessStarted
    | StopAsked
    | ProcessEnded
)


class Record:
    """Facts in order, and the exchanges of all callers.

    The observers are called with each fact. A lean record keeps exchanges
    only, but shows the facts there are to its observers.
    """

    def __init__(self, lean: bool = False):
        self.lean = lean
        self.facts: list[Fact] = []
        self.exchanges: dict[str, Exchange] = {}
        self.observers: list[collections.abc.Callable[[Fact], None]] = []

    def note(self, fact: Fact) -> None:
        """Keep a fact and show it to the observers."""
        if not self.lean:
            self.facts.append(fact)
        for observe in self.observers:
            observe(fact)
