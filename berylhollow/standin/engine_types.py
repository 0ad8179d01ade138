"""Data classes of the engine model."""

import dataclasses
import enum

from berylhollow import messages

BASE_MODEL_VERSION = '0'


@dataclasses.dataclass(frozen=True)
class EngineLimits:
    """Capacity, step times and lags of an engine.

    A step of n requests on d distinct adapters that prefills p prompt tokens
    takes

        step_ms + n * request_ms + d * adapter_ms + p * prefill_ms

    and produces a token for each request whose prompt is prefilled. At most
    ``prefill_chunk`` prompt tokens are prefilled in a step.
    """

    base_model: str = 'base'
    slot_count: int = 4
    batch_limit: int = 8
    step_ms: float = 12
    request_ms: float = 0.05
    adapter_ms: float = 0.5
    prefill_ms: float = 0.1
    prefill_chunk: int = 256
    cache_tokens: int = 20_000
    status_lag_ms: int = 500
    event_lag_ms: int = 1000
    event_gap_every: int = 10
    restart_ms: int = 3000
    slow_factor: float = 4
    checks_fencing: bool = True


@dataclasses.dataclass
class Usage:
    """How an engine spent its time, across restarts.

    ``busy_ms`` is the total duration of its steps, ``places`` the sum of their
    batch sizes, ``tokens`` the number of tokens produced.
    """

    busy_ms: float = 0
    steps: int = 0
    places: int = 0
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class EngineRequest:
    """A request to the engine; a higher priority is admitted first.

    ``prefix`` names the start of the prompt, ``prefix_tokens`` long, that
    the prefix cache may hold.
    """

    request: str
    adapter: messages.AdapterVersion
    prompt_tokens: int = 16
    output_tokens: int = 16
    priority: int = 0
    prefix: str = ''
    prefix_tokens: int = 0
    crashes_engine: bool = False


@dataclasses.dataclass(frozen=True)
class Token:
    """One token; ``adapter`` is the one that actually produced it."""

    ticket: int
    index: int
    adapter: messages.AdapterVersion
    at_ms: float


@dataclasses.dataclass(frozen=True)
class Finished:
    """The output that ends a request with all its tokens."""

    ticket: int
    adapter: messages.AdapterVersion
    cached_tokens: int
    at_ms: float


@dataclasses.dataclass(frozen=True)
class Broken:
    """The output that ends a request after a crash or a cancel."""

    ticket: int
    at_ms: float


Output = Token | Finished | Broken


class RunOutcome(enum.StrEnum):
    RUNNING = 'running'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True)
class Run:
    """The engine's record of a request that it began to run.

    ``ran`` lists the adapters that produced its tokens, in order. A request
    that only waited has no record.
    """

    request: str
    wanted: messages.AdapterVersion
    ran: tuple[messages.AdapterVersion, ...]
    epoch: str
    outcome: RunOutcome
    tokens: int

    @property
    def wrong_adapter(self) -> bool:
        """Whether any token came from an adapter other than ``wanted``."""
        return any(adapter != self.wanted for adapter in self.ran)
