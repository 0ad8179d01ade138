"""Data that the platform's services return."""

import dataclasses
import enum

from berylhollow import messages


class Role(enum.StrEnum):
    """Role of an instance in the system."""

    GATEWAY = 'gateway'
    ENDPOINT = 'endpoint'


class State(enum.StrEnum):
    """Whether an instance may be given new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One entry of the instance list.

    ``address`` is the ``IP:port`` where a sidecar accepts links, or a gateway
    those of its peers. ``service`` is empty for a gateway.
    """

    instance: str
    role: Role
    service: str
    failure_domain: str
    region: str
    address: str
    state: State = State.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Records of a stream, and the offsets that the log holds.

    A log that was restored from an older copy begins a new ``era`` and reuses
    offsets: offsets of two eras can't be compared. ``whole`` says that the log
    held no further records. ``told`` says that another process made the read
    and passed the result on, so its time is not known. ``begun_ms`` is when
    the call that received the records was sent, if that was before the read:
    a read may join an earlier one.
    """

    records: tuple[messages.LogEntry, ...]
    first_offset: int
    next_offset: int
    era: int = 0
    whole: bool = True
    told: bool = False
    begun_ms: int | None = None
