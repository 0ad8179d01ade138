"""Everything that a reducer can be told, one frozen class each.

A reducer knows the world from these events alone: each carries the time at
which the shell saw it (``at_ms``) and, where one is needed, randomness.
"""

import dataclasses
import enum

from berylhollow import errors
from berylhollow import messages


class Certainty(enum.Enum):
    """What is known of an action whose success was not reported."""

    NOT_DONE = 'not_done'
    UNKNOWN = 'unknown'


class Role(enum.Enum):
    """What an instance runs."""

    GATEWAY = 'gateway'
    ENDPOINT = 'endpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The process starts; ``incarnation`` is new for every process."""

    at_ms: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed; ``seed`` is fresh randomness in [0, 1)."""

    at_ms: int
    seed: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to shut down gracefully."""

    at_ms: int


# Links between our own processes.


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """A link to or from a peer has been authenticated."""

    at_ms: int
    peer: str
    role: Role
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """A link is gone; what was sent may or may not have arrived."""

    at_ms: int
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkRefused:
    """A link could not be opened: nothing was sent on it."""

    at_ms: int
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A peer sent a message."""

    at_ms: int
    peer: str
    message: messages.Message


# The platform.


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One row of the platform's instance list.

    A ``direct`` endpoint is sent requests at its own address, without a
    sidecar between; ``capacity`` is how many it runs at once (0 if it does
    not say); ``models`` and ``adapters`` are what it said it holds. Its
    ``instance`` is the text of its ``incarnation``, so that one that starts
    again under its old name is another row. ``until_ms`` is by when requests
    must no longer be sent to one that is off the list and may come back; None
    of one that is listed.
    """

    instance: str
    role: Role
    service: str
    failure_domain: str
    region: str
    address: str
    leaving: bool
    direct: bool = False
    capacity: int = 0
    models: tuple[str, ...] = ()
    adapters: tuple[messages.AdapterVersion, ...] = ()
    incarnation: messages.Incarnation | None = None
    until_ms: int | None = None

    @property
    def listed_name(self) -> str:
        """Return the name in the list, which restarts have in common."""
        if self.incarnation is None:
            return self.instance
        return self.incarnation.name


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The instance list as the platform showed it, which lags."""

    at_ms: int
    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPartRead:
    """We have read a part of a stream that is shared with others."""

    at_ms: int
    part: messages.StreamPart


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """Records of a stream, in order from the offset that was asked for.

    ``first_offset`` is the oldest kept one, ``next_offset`` where to read
    on. Records older than ``first_offset`` are gone. Offsets of two ``era``
    can't be compared. ``begun_ms`` is when the read was begun, None if
    another process made it; with ``whole`` the log held nothing more then.
    ``from_offset`` is the one that was asked for, None for the newest record
    of each key.
    """

    at_ms: int
    stream: str
    entries: tuple[messages.LogEntry, ...]
    first_offset: int
    next_offset: int
    era: int = 0
    begun_ms: int | None = None
    whole: bool = True
    from_offset: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LogChecked:
    """What came of a read that was made for its time; None if it failed."""

    at_ms: int
    stream: str
    read: LogRead | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A stream could not be read; the log is down, slow or trimmed.

    ``first_offset`` is set when the offset asked for is no longer kept.
    """

    at_ms: int
    stream: str
    first_offset: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The log took a record at an offset."""

    at_ms: int
    stream: str
    append_id: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """The log did not confirm a record.

    With UNKNOWN certainty the record may be there, or may still come.
    """

    at_ms: int
    stream: str
    append_id: str
    certainty: Certainty


# Callers, at a gateway.


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """What the head of a request says before its body is read.

    ``credential`` is the digest of the caller's key, None without a usable
    one. ``tokens`` are those of the prompt and the answer, 0 if not told.
    """

    host: str
    path: str
    credential: bytes | None
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller asked for, checked for form only.

    ``deadline_ms`` is a duration from arrival. ``key`` is the caller's
    idempotency key and makes the request non-idempotent; so does a route
    whose requests are not ``repeatable``. Where the caller names no version
    of its adapter, that of ``adapter`` is empty until it is resolved.
    ``credential`` is the digest of the caller's key, None without a usable
    one.
    """

    request_id: str
    caller: str
    service: str
    adapter: messages.AdapterVersion | None
    key: str | None
    priority: int
    deadline_ms: int
    fingerprint: str
    method: str
    path: str
    headers: tuple[messages.Header, ...]
    body: bytes
    prompt_tokens: int = 0
    output_tokens: int = 0
    host: str = ''
    repeatable: bool = True
    credential: bytes | None = None

    @property
    def head(self) -> RequestHead:
        return RequestHead(
            self.host,
            self.path,
            self.credential,
            self.prompt_tokens + self.output_tokens,
        )

    @property
    def idempotent(self) -> bool:
        return self.key is None and self.repeatable


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request; ``seed`` is fresh randomness in [0, 1)."""

    at_ms: int
    request: Request
    seed: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRefused:
    """A request was refused before its body was read.

    ``shown_id`` is the id by which its caller knows it.
    """

    at_ms: int
    shown_id: str
    head: RequestHead
    kind: errors.Kind
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before its answer was whole."""

    at_ms: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRelayed:
    """The whole answer of an attempt has been passed to the caller.

    ``body`` is kept only for a request with a key, and only while it is
    small enough to be stored; otherwise it is None.
    """

    at_ms: int
    request_id: str
    attempt_id: str
    status: int
    headers: tuple[messages.Header, ...] = ()
    body: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The frames of an attempt can't be completed (gap or cut short)."""

    at_ms: int
    request_id: str
    attempt_id: str


# The endpoint, at a gateway that sends requests to it directly.


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What an endpoint says of itself in an answer.

    ``leaving`` tells that it takes no new work any more. ``rate_per_s`` is how
    many requests a second it takes from all gateways together, None if it
    names no limit. With ``pause_ms`` it has turned the request away and wants
    none from this gateway for so long. ``malformed`` holds what was not
    understood, which says nothing.
    """

    leaving: bool = False
    rate_per_s: float | None = None
    pause_ms: int = 0
    malformed: tuple[str, ...] = ()

    @property
    def empty(self) -> bool:
        return self == EndpointNotice()


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeReceived:
    """An endpoint answered a request that was sent at ``sent_ms``.

    Whatever becomes of the request: answers overtake each other, so the one
    to the request that was sent last is the newest.
    """

    at_ms: int
    peer: str
    sent_ms: int
    notice: EndpointNotice


# The endpoint, at its sidecar.


@dataclasses.dataclass(frozen=True, slots=True)
class SlotState:
    """A slot as the engine itself reports it, with a lag."""

    slot: int
    adapter: messages.AdapterVersion | None
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """What the engine published of itself, with a lag."""

    at_ms: int
    epoch: str
    base_model: str
    slots: tuple[SlotState, ...]
    batch_limit: int
    running: int
    waiting: int
    highest_fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointUnreachable:
    """The endpoint did not answer a status question."""

    at_ms: int
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSucceeded:
    """The engine confirmed a load order in the given epoch."""

    at_ms: int
    order_id: str
    epoch: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFailed:
    """A load order failed; with UNKNOWN it may still take effect."""

    at_ms: int
    order_id: str
    certainty: Certainty
    reason: 'LoadFailure'


class LoadFailure(enum.Enum):
    """Why a load order failed."""

    STALE_FENCE = 'stale_fence'
    WRONG_EPOCH = 'wrong_epoch'
    WEIGHTS = 'weights'
    RATE = 'rate'
    REFUSED = 'refused'
    NO_ANSWER = 'no_answer'


@dataclasses.dataclass(frozen=True, slots=True)
class RunStarted:
    """The endpoint answered with a head; ``adapter`` is what it runs."""

    at_ms: int
    attempt_id: str
    epoch: str
    status: int
    headers: tuple[messages.Header, ...]
    adapter: messages.AdapterVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """The endpoint's answer is whole; ``count`` frames carried it."""

    at_ms: int
    attempt_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunFailed:
    """A run ended without a whole answer.

    ``ran`` is NOT_RUN only when the endpoint said so or nothing was sent.
    ``crashed`` tells that the connection broke as in a crash.
    """

    at_ms: int
    attempt_id: str
    kind: errors.Kind
    ran: errors.Ran
    crashed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelConfirmed:
    """The endpoint confirmed that a cancelled run is over."""

    at_ms: int
    attempt_id: str


# A direct endpoint, at the loader beside it.


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptersReported:
    """What the endpoint held when read ``read`` was answered.

    ``orders`` is how many it has accepted since it started, ``started_ms``
    when that was by its own word (0 if it does not say). Adapters in
    ``loading`` take their places already. While it is ``busy`` with a model
    it takes no other order. ``at_hand`` are the models that it can load
    without the weight store.
    """

    at_ms: int
    read: int
    orders: int
    models: tuple[str, ...]
    busy: bool
    held: tuple[messages.AdapterVersion, ...]
    loading: tuple[messages.AdapterVersion, ...]
    waiting: int
    running: int
    started_ms: int = 0
    at_hand: tuple[str, ...] = ()


class OrderVerdict(enum.Enum):
    """What became of an order.

    LOST has no answer: it may have been accepted, or may be later.
    """

    ACCEPTED = 'accepted'
    HELD_ALREADY = 'held_already'
    CONFLICT = 'conflict'
    ANOTHER_INCARNATION = 'another_incarnation'
    REFUSED = 'refused'
    NOT_SENT = 'not_sent'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderEnded:
    """An order was answered, or will not be."""

    at_ms: int
    order_id: str
    verdict: OrderVerdict


Event = (
    Started
    | Ticked
    | StopRequested
    | LinkOpened
    | LinkClosed
    | LinkRefused
    | MessageReceived
    | InstancesListed
    | LogRead
    | LogReadFailed
    | Appended
    | AppendFailed
    | RequestArrived
    | CallerGone
    | AnswerRelayed
    | AnswerBroken
    | NoticeReceived
    | EngineStatus
    | EndpointUnreachable
    | LoadSucceeded
    | LoadFailed
    | RunStarted
    | RunEnded
    | RunFailed
    | CancelConfirmed
    | AdaptersReported
    | OrderEnded
)
