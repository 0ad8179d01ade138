"""The effects that a reducer requests from its shell, one class each.

A shell carries effects out in the order given and reports their results as
events; it makes no decisions of its own.
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
    """Close a link once everything sent on it has gone out."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadInstances:
    """Read the instance list; answered by InstancesListed or nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckLife:
    """Ask a direct endpoint's process whether it lives.

    Answered by EndpointOutlived, or by nothing if that isn't known.
    """

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Read a stream; answered by LogRead or LogReadFailed.

    If there is no record yet, the log may wait ``wait_ms`` for one.
    """

    stream: str
    from_offset: int
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CheckLog:
    """Read a stream now, from the log itself; answered by LogChecked.

    Records that other processes read and share do not count as an answer.
    """

    stream: str
    from_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read the newest record of each key; answered like ReadLog.

    The records of the stream must have keys.
    """

    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeStreamPart:
    """Accept records of a stream that another gateway has read."""

    part: messages.AnyStreamPart


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record; answered by Appended or AppendFailed."""

    stream: str
    append_id: str
    data: bytes


# At a gateway.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerError:
    """Answer a caller with an error, which ends its request."""

    request_id: str
    kind: errors.Kind
    ran: errors.Ran
    retry_after_ms: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStored:
    """Answer a caller with the stored answer of an earlier run."""

    request_id: str
    status: int
    headers: tuple[messages.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswer:
    """Begin to relay the answer of an attempt; no other one is relayed.

    ``stalled_ms`` is how long the attempt waited for its adapter to load.
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
    """Complete an answer; the attempt has sent all its ``count`` frames.

    The shell reports AnswerRelayed, or AnswerBroken if frames are missing.
    """

    request_id: str
    attempt_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeAnswer:
    """Ask the peer for the missing frames of an attempt.

    The shell sends ``Resume`` with the next sequence number that it expects,
    0 if the answer has not begun.
    """

    peer: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BreakAnswer:
    """End an incomplete answer: break off the caller's stream with an error.

    A caller would take a clean close for the end of a complete answer.
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
    """Send the request of an offer to the endpoint.

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

    Later frames go to this peer too. They no longer go to the link that the
    attempt used before.
    """

    attempt_id: str
    peer: str
    next_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetRun:
    """Discard the frames that are kept for an attempt."""

    attempt_id: str


# At a loader.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAdapters:
    """Read the endpoint's models and adapters; ``read`` numbers the reads.

    Answered by AdaptersReported or EndpointUnreachable.
    """

    read: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAdapter:
    """Order the endpoint to load or unload a model or an adapter.

    The endpoint carries it out only if it is the incarnation ``endpoint``
    and has accepted no more than ``orders`` orders before. Answered by
    OrderEnded.
    """

    order_id: str
    load: bool
    name: str
    orders: int
    endpoint: str


# Everywhere.


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Add ``value`` to a metric that is declared in ``metrics``."""

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
    """End the process with an exit code; all work is finished."""

    code: int


Effect = (
    Send
    | OpenLink
    | CloseLink
    | ReadInstances
    | CheckLife
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
