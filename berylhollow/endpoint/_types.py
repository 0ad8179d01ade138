"""Requests and orders to endpoints, and the status that they report."""

import dataclasses
import enum

from berylhollow import messages


class SlotState(enum.StrEnum):
    """State of an adapter slot."""

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """An adapter slot and the adapter that it holds."""

    slot: int
    adapter: messages.AdapterVersion | None = None
    state: SlotState = SlotState.EMPTY


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """The status that an engine reports; it may lag behind.

    ``epoch`` changes with each restart. ``highest_fence`` is the highest
    fencing token that the engine has seen in this epoch, or 0.
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
    """An order to load an adapter into a slot, or to empty the slot.

    ``adapter`` is None to empty it. The engine refuses the order unless
    ``epoch`` is its current one.
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
    """A prefix cache change; a gap in ``sequence`` shows missing events."""

    sequence: int
    at_ms: int
    change: CacheChange
    adapter: messages.AdapterVersion
    prefix: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """A request to an endpoint.

    A request that is not idempotent is sent on a new connection. If it were
    sent on a reused one that the endpoint has just closed, it would be
    unknown whether the request ran.
    """

    method: str
    path: str
    headers: tuple[messages.Header, ...] = ()
    body: bytes = b''
    idempotent: bool = True
