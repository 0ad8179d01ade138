"""Everything that a reducer can ask its shell to do, as data.

A shell carries effects out in the order given and reports what came of them
as events; it takes no decision of its own.
"""

import dataclasses

from berylhollow import errors
from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer, if a link to it is open."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a link; answered by LinkOpened or LinkRefused."""

    peer: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link after what was sent on it."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadInstances:
    """Read the instance list; answered by InstancesListed, or not at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Read a stream; answered by LogRead or LogReadFailed.

    ``wait_ms`` lets the log hold the answer until a record comes.
    """

    stream: str
    from_offset: int
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CheckLog:
    """Read a stream by ourselves and at once; answered by LogChecked.

    Whatever other processes read and tell does not answer it.
    """

    stream: str
    from_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read the newest record of each key; answered like ReadLog.

    Only of a stream whose records have keys.
    """

    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeStreamPart:
    """Take in what another gateway has read of a stream."""

    part: messages.StreamPart


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record; answered by Appended or AppendFailed."""

    stream: str
    append_id: str
    data: bytes


# At a gateway.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerError:
    """Give a caller its final answer: an error."""

    request_id: str
    kind: errors.Kind
    ran: errors.Ran
    retry_after_ms: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStored:
    """Give a caller an answer that was kept from an earlier run."""

    request_id: str
    status: int
    headers: tuple[messages.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswer:
    """Begin to relay the answer of one attempt, the only one to come.

    ``stalled_ms`` is how long it waited for its adapter to be loaded.
    """

    request_id: str
    attempt_id: str
    peer: str
    status: int
    headers: tuple[messages.Header, ...]
    adapter: messages.AdapterVersion | None
    stalled_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """All ``count`` frames of the attempt were sent; complete the answer.

    The shell reports AnswerRelayed, or AnswerBroken if frames are missing.
    """

    request_id: str
    attempt_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeAnswer:
    """Ask the peer for the frames of an attempt that did not arrive.

    The shell sends ``Resume`` with the next sequence number that its
    receiver waits for, 0 if the answer has not begun.
    """

    peer: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BreakAnswer:
    """The answer can't be completed: end the caller's stream with an error.

    Never a clean close, which a caller would take for a whole answer.
    """

    request_id: str
    attempt_id: str
    kind: errors.Kind
    ran: errors.Ran


# At a sidecar.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStatus:
    """Ask the endpoint for its status."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order the engine to load an adapter version into a slot.

    Answered by LoadSucceeded or LoadFailed with the order's id.
    """

    order_id: str
    slot: int
    adapter: messages.AdapterVersion
    fence: int
    epoch: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Give the request of an offer to the endpoint.

    Answered by RunStarted and RunEnded, or RunFailed.
    """

    attempt_id: str
    offer: messages.Offer
    epoch: str
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancel a run at the endpoint; answered by CancelConfirmed."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResendFrames:
    """Send the frames of a run again, from ``next_sequence`` on, to a peer.

    What follows goes to this peer too; a link that was used for the attempt
    before is out of date.
    """

    attempt_id: str
    peer: str
    next_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetRun:
    """Drop the frames that were kept for an attempt."""

    attempt_id: str


# At a loader.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAdapters:
    """Read what the endpoint holds; ``read`` numbers the reads.

    Answered by AdaptersReported or EndpointUnreachable.
    """

    read: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAdapter:
    """Order the endpoint to load or unload a model or an adapter.

    It is carried out only by this incarnation (``endpoint``), and only if
    that has accepted no more than ``orders`` before.
    Answered by OrderEnded.
    """

    order_id: str
    load: bool
    name: str
    orders: int
    endpoint: str


# Everywhere.


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Add to a metric of the table in ``metrics``."""

    name: str
    value: float = 1
    attributes: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Write a structured log line."""

    text: str
    fields: tuple[tuple[str, object], ...] = ()
    warning: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """Everything is finished: end the process with this code."""

    code: int


Effect = (
    Send
    | OpenLink
    | CloseLink
    | ReadInstances
    | ReadLog
    | CheckLog
    | ReadNewest
    | Append
    | AnswerError
    | AnswerStored
    | BeginAnswer
    | CompleteAnswer
    | ResumeAnswer
    | BreakAnswer
    | ReadStatus
    | LoadAdapter
    | StartRun
    | CancelRun
    | ResendFrames
    | ForgetRun
    | ReadAdapters
    | OrderAdapter
    | Count
    | Log
    | Exit
)
