"""The events that a reducer takes as input, one frozen class each.

Events are a reducer's only input. Each carries the time at which the shell
observed it (``at_ms``) and, where the reducer needs one, a random number.
"""

import dataclasses
import enum

from berylhollow import errors
from berylhollow import messages


class Certainty(enum.Enum):
    """What is known about an action whose success was not confirmed."""

    NOT_DONE = 'not_done'
    UNKNOWN = 'unknown'


class Role(enum.Enum):
    """The kind of process that an instance runs."""

    GATEWAY = 'gateway'
    ENDPOINT = 'endpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The process has started; every process has its own ``incarnation``."""

    at_ms: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """A periodic timer fired; ``seed`` is a new random number in [0, 1)."""

    at_ms: int
    seed: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnnounced:
    """The process is to shut down; callers may come for ``notice_ms`` yet.

    ``StopRequested`` follows when no more can.
    """

    at_ms: int
    notice_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to shut down gracefully."""

    at_ms: int


# Links between processes of this project.


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """A link to or from a peer has been authenticated."""

    at_ms: int
    peer: str
    role: Role
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """A link was lost; messages sent on it may not have arrived."""

    at_ms: int
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkRefused:
    """A link could not be opened, so nothing was sent on it."""

    at_ms: int
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from a peer has arrived."""

    at_ms: int
    peer: str
    message: messages.Message


# The platform.


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One entry of the platform's instance list.

    Requests to a ``direct`` endpoint go to its own address, without a
    sidecar. ``capacity`` is how many requests it runs at once, 0 if it does
    not say. ``models`` and ``adapters`` are those that it reports as loaded.
    Its ``instance`` is the text of its ``incarnation``, so that an endpoint
    that restarts under the same name is a new entry. ``usable_until_ms`` is
    set for an endpoint that is off the list but may come back: no requests may
    be sent to it from that time on. It is None for a listed one.
    ``software_version`` is that of the endpoint's software, empty if unknown;
    events of one stream must all be of one version. ``removed_in_ms`` is set
    for one that is removed at short notice: it is gone after that time, from
    when its entry was written, whatever it runs.
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
    usable_until_ms: int | None = None
    software_version: str = ''
    removed_in_ms: int | None = None

    @property
    def listed_name(self) -> str:
        """Return the name in the list, which stays the same over restarts."""
        if self.incarnation is None:
            return self.instance
        return self.incarnation.name

    @property
    def may_restart_under_name(self) -> bool:
        """Tell whether the next start may answer under the listed name.

        One that doesn't say when it started has its name for itself.
        """
        return self.incarnation is not None and self.incarnation.started_ms > 0


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's instance list was read; it may be out of date."""

    at_ms: int
    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPartRead:
    """This process read part of a stream whose reads are shared."""

    at_ms: int
    part: messages.AnyStreamPart


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """Records of a stream were read, in order from the requested offset.

    ``first_offset`` is the oldest one that is still kept; records before it
    have been deleted. ``next_offset`` is where the next read starts. Offsets
    of different ``era`` can't be compared. ``begun_ms`` is when the read
    began, None if another process made it. ``whole`` means that the log held
    no further records then. ``from_offset`` is the requested offset, None if
    the newest record of each key was requested.
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
    """The result of a ``CheckLog`` read; ``read`` is None if it failed."""

    at_ms: int
    stream: str
    read: LogRead | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A stream could not be read: the log is down, slow or trimmed.

    ``first_offset`` is set if the requested offset is no longer kept.
    """

    at_ms: int
    stream: str
    first_offset: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The log stored a record at ``offset``."""

    at_ms: int
    stream: str
    append_id: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """The log did not confirm an append.

    With UNKNOWN certainty the record may be stored already, or later.
    """

    at_ms: int
    stream: str
    append_id: str
    certainty: Certainty


# Callers of a gateway.


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """What is known of a request before its body is read.

    ``credential`` is the digest of the caller's key, None without a usable
    one. ``tokens`` counts prompt and answer together, 0 if not given.
    """

    host: str
    path: str
    credential: bytes | None
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """A caller takes a stream up again after the events that it has.

    ``stream_id`` is the caller's id of the request that brought the first
    event, empty if the caller does not name one.
    """

    stream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request; only its syntax has been checked.

    ``deadline_ms`` counts from when its head was read. ``key`` is the caller's
    idempotency key. A request with a key is not idempotent, nor is one on a
    route whose requests are not ``repeatable``. If the caller names no
    version, that of ``adapter`` is empty until it is resolved.
    ``credential`` is the digest of the caller's key, None without a usable
    one. ``shared_parts`` are the ids of the parts of its prompt that other
    requests may share, in order. ``caller_request_id`` is the caller's own id
    of the request, empty without a usable one. ``resumption`` is set if it
    takes a stream up again.
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
    shared_parts: tuple[str, ...] = ()
    caller_request_id: str = ''
    resumption: Resumption | None = None

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
    """A request arrived; ``seed`` is a new random number in [0, 1).

    ``begun_ms`` is when its head had been read, None if it has no body that
    took time.
    """

    at_ms: int
    request: Request
    seed: float = 0.5
    begun_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRefused:
    """A request was refused before its body was read.

    ``shown_id`` is the request id that the caller sees.
    """

    at_ms: int
    shown_id: str
    head: RequestHead
    kind: errors.Kind
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before the answer was complete."""

    at_ms: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRelayed:
    """The whole answer of an attempt has been passed to the caller.

    ``body`` is set only for a request with a key whose answer is small
    enough to be stored; otherwise it is None. ``longest_gap_ms`` is the
    longest time between two parts of the answer.
    """

    at_ms: int
    request_id: str
    attempt_id: str
    status: int
    headers: tuple[messages.Header, ...] = ()
    body: bytes | None = None
    longest_gap_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBroken:
    """An attempt's answer is incomplete: frames are missing or cut off."""

    at_ms: int
    request_id: str
    attempt_id: str


# An endpoint to which a gateway sends requests directly.


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What an endpoint says about itself in an answer.

    ``leaving`` means that it accepts no new work. ``rate_per_s`` is how many
    requests a second it accepts from all gateways together, None if it names
    no limit. With ``pause_ms`` it has rejected the request and wants none
    from this gateway for that long. ``malformed`` holds the values that could
    not be parsed; they have no effect.
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

    The notice counts whether or not the request succeeds. Answers may arrive
    out of order: the newest notice is the one with the latest ``sent_ms``.
    """

    at_ms: int
    peer: str
    sent_ms: int
    notice: EndpointNotice


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointOutlived:
    """One process of an endpoint was up from ``since_ms`` to ``until_ms``.

    It answered a health check of ``until_ms`` over a connection that was open
    at ``since_ms``.
    """

    at_ms: int
    endpoint: str
    since_ms: int
    until_ms: int


# The endpoint of a sidecar.


@dataclasses.dataclass(frozen=True, slots=True)
class SlotState:
    """An adapter slot as the engine reports it, possibly out of date."""

    slot: int
    adapter: messages.AdapterVersion | None
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """The engine's published status, possibly out of date."""

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
    """The endpoint did not answer a request for its status."""

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
    """A load order failed; with UNKNOWN it may still take effect later."""

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
    """The head of an answer arrived; ``adapter`` is what the endpoint runs."""

    at_ms: int
    attempt_id: str
    epoch: str
    status: int
    headers: tuple[messages.Header, ...]
    adapter: messages.AdapterVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """The endpoint's answer is complete, in ``count`` frames."""

    at_ms: int
    attempt_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunFailed:
    """A run ended without a complete answer.

    ``ran`` is NOT_RUN only if the endpoint said so or nothing was sent.
    ``crashed`` means that the connection broke as it does in a crash.
    """

    at_ms: int
    attempt_id: str
    kind: errors.Kind
    ran: errors.Ran
    crashed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelConfirmed:
    """The endpoint confirmed that a cancelled run has ended."""

    at_ms: int
    attempt_id: str


# The direct endpoint of a loader.


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptersReported:
    """The endpoint's models and adapters, as the answer to a read.

    ``read`` is the number of that read. ``orders`` is how many orders the
    endpoint has accepted since it started, ``started_ms`` the start time
    that it reports (0 if it does not say). Adapters in ``loading`` already
    occupy their slots. While it is ``busy`` with a model it accepts no other
    order. ``local_models`` are the models that it can load without the weight
    store.
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
    local_models: tuple[str, ...] = ()


class OrderVerdict(enum.Enum):
    """The outcome of an order.

    LOST means that no answer came: the order may have been accepted, or may
    still be.
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
    """An order was answered, or no answer will come."""

    at_ms: int
    order_id: str
    verdict: OrderVerdict


Event = (
    Started
    | Ticked
    | StopAnnounced
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
