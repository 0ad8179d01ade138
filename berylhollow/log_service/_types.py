"""What the platform's services give back."""

import dataclasses
import enum

from berylhollow import messages


class Role(enum.StrEnum):
    """What an instance is to the system."""

    GATEWAY = 'gateway'
    ENDPOINT = 'endpoint'


class State(enum.StrEnum):
    """Whether an instance may be given new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One entry of the instance list.

    ``address`` is ``IP:port``: where a sidecar takes links, or a gateway
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
    """Part of a stream, and the bounds of what the log holds of it.

    A log that came back from an older copy begins a new ``era``, in which
    offsets are given out again: those of two eras can't be compared.
    ``whole`` tells that the log held nothing more, ``told`` that another
    process has read this, at a time that is not known.
    """

    records: tuple[messages.LogEntry, ...]
    first_offset: int
    next_offset: int
    era: int = 0
    whole: bool = True
    told: bool = False
