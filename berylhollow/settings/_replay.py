"""Options of a replay, which simulates a deployment."""

import dataclasses

from berylhollow.settings import _options

MAX_DURATION_MS = 60 * 60 * 1000


def _duration(meaning: str, default: float) -> float:
    return _options.number(
        meaning, default=default, low=0, high=MAX_DURATION_MS, unit='ms'
    )


def _count(meaning: str, default: int, high: int = 10_000) -> int:
    return _options.integer(meaning, default=default, low=0, high=high)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayEngineSettings:
    """Engines of one service and the durations of their steps."""

    service: str = _options.text('Service of the engines.', default='modelos')
    count: int = _count('Engines.', 5)
    slots: int = _count('Adapters that an engine holds at once.', 8)
    batch_limit: int = _count('Requests in one batch.', 8)
    step_ms: float = _duration('Time of one decoding step.', 12)
    request_ms: float = _duration('More for each request in the batch.', 0.5)
    adapter_ms: float = _duration('More for each adapter in the batch.', 1)
    prefill_ms: float = _duration('More for each prompt token.', 0.1)
    status_lag_ms: int = _options.integer(
        "How late the engine's status is.",
        default=500,
        low=0,
        high=MAX_DURATION_MS,
        unit='ms',
    )
    restart_ms: int = _options.integer(
        'How long a crashed engine stays away.',
        default=3000,
        low=0,
        high=MAX_DURATION_MS,
        unit='ms',
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayPlainSettings:
    """Endpoints of one service without adapters."""

    service: str = _options.text('Service without adapters.', default='balcao')
    count: int = _count('Endpoints.', 4)
    work_ms: float = _duration('Time that one call takes.', 20)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayWeightsSettings:
    """Rate limit and load times of the weight store."""

    loads_per_s: float = _options.number(
        'Loads that the weight store allows a second.',
        default=2.0,
        low=0.001,
        high=1_000_000.0,
        unit='loads/s',
    )
    burst: int = _options.integer(
        'Loads allowed at once after a pause.', default=2, low=1, high=10_000
    )
    load_ms: float = _duration('Time of one load when it runs alone.', 400)
    contention: float = _options.number(
        'Part of the speed that each further load at once costs all.',
        default=0.1,
        low=0.0,
        high=10.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayLatencySettings:
    """One-way latencies between the processes, and the tick interval."""

    caller_ms: float = _duration('Caller to gateway.', 3)
    link_ms: float = _duration('Gateway to sidecar.', 1.5)
    platform_ms: float = _duration('To the platform.', 2)
    endpoint_ms: float = _duration('Sidecar to its endpoint.', 0.2)
    tick_ms: float = _options.number(
        'Pause between ticks of a reducer.',
        default=50,
        low=1,
        high=MAX_DURATION_MS,
        unit='ms',
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaySettings:
    """A deployment on paper, for ``berylhollow replay``."""

    manifest: str = _options.text(
        'Manifest file, relative to this one; adapters of the trace that it '
        'does not declare are added to it. Empty declares just those.',
        default='',
        min_length=0,
        max_length=1024,
    )
    policy: str = _options.text('Adapter policy.', default='adaptive')
    gateways: int = _options.integer('Gateways.', default=3, low=1, high=1000)
    failure_domains: str = _options.text(
        'Failure domains, separated by commas; instances are spread over '
        'them.',
        default='local',
        max_length=1024,
    )
    report_ms: int = _options.integer(
        'Pause between the reports of a sidecar to its gateways.',
        default=250,
        low=1,
        high=MAX_DURATION_MS,
        unit='ms',
    )
    engines: ReplayEngineSettings = dataclasses.field(
        default_factory=ReplayEngineSettings
    )
    plain: ReplayPlainSettings = dataclasses.field(
        default_factory=ReplayPlainSettings
    )
    weights: ReplayWeightsSettings = dataclasses.field(
        default_factory=ReplayWeightsSettings
    )
    latency: ReplayLatencySettings = dataclasses.field(
        default_factory=ReplayLatencySettings
    )
