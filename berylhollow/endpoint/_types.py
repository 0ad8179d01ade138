"""What a model engine gives back and the orders that it takes."""

import dataclasses
import enum

from berylhollow import messages


class SlotState(enum.StrEnum):
    """What an adapter slot is doing."""

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """What one adapter slot holds."""

    slot: int
    adapter: messages.AdapterVersion | None = None
    state: SlotState = SlotState.EMPTY


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's report of itself, which lags.

    ``epoch`` changes with each restart; ``highest_fence`` is the highest
    fencing number seen in this epoch, or 0.
    """

    epoch: str
    base_model: str
    slots: tuple[Slot, ...]
    batch_limit: int
    running: int
    waiting: int
    highest_fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotOrder:
    """An order over one slot; ``adapter`` is None to unload it.

    The engine takes it only in the epoch that it names.
    """

    order: str
    slot: int
    fence: int
    epoch: str
    adapter: messages.AdapterVersion | None = None


class CacheChange(enum.StrEnum):
    """What happened to a prompt prefix in the cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache; a missing ``sequence`` shows a gap."""

    sequence: int
    at_ms: int
    change: CacheChange
    adapter: messages.AdapterVersion
    prefix: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """A call to an endpoint.

    One that is not idempotent goes over a connection of its own: on a
    reused one that the endpoint has just closed, nobody could tell whether
    it ran.
    """

    method: str
    path: str
    headers: tuple[messages.Header, ...] = ()
    body: bytes = b''
    idempotent: bool = True
