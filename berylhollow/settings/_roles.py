"""Options of each role, each declared once as a dataclass field."""

import dataclasses
import enum
import typing

from berylhollow.settings import _options
from berylhollow.settings import _replay

DAY_MS = 24 * 60 * 60 * 1000
HOUR_MS = 60 * 60 * 1000
MINUTE_MS = 60 * 1000
MAX_PORT = 65_535


class Role(enum.StrEnum):
    """Commands that read settings: the server processes and the replay."""

    GATEWAY = 'gateway'
    SIDECAR = 'sidecar'
    PLATFORM = 'platform'
    ENGINE = 'engine'
    SERVICE = 'service'
    REPLAY = 'replay'


class LogLevel(enum.StrEnum):
    """Lowest severity that is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class EndpointKind(enum.StrEnum):
    """Kind of the endpoint that a sidecar serves."""

    ENGINE = 'engine'
    PLAIN = 'plain'


def _section(settings: type) -> typing.Any:
    """Declare a nested group of options that all have defaults."""
    return dataclasses.field(default_factory=settings)


def _required_section() -> typing.Any:
    """Declare a nested group with at least one required option."""
    return dataclasses.field()


def _port(meaning: str, default: int) -> typing.Any:
    return _options.integer(meaning, default=default, low=0, high=MAX_PORT)


def _duration(
    meaning: str, default: int, *, low: int = 1, high: int = DAY_MS
) -> typing.Any:
    return _options.integer(
        meaning, default=default, low=low, high=high, unit='ms'
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSettings:
    level: LogLevel = _options.choice(
        'Least severity that is logged.', LogLevel, default=LogLevel.INFO
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformLinkSettings:
    url: str = _options.http_url(
        "The platform's log, instance list and weight store."
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommonSettings:
    """Options that all processes share."""

    instance: str = _options.text('Name of this instance, unique in all.')
    failure_domain: str = _options.text(
        'Failure domain that this instance stands in.'
    )
    region: str = _options.text(
        'Region that the failure domain belongs to.', default='local'
    )
    link_key: str = _options.text(
        'Secret that all processes of one deployment share; it '
        'authenticates the links between them.',
        min_length=16,
        max_length=512,
        secret=True,
    )
    log: LogSettings = _section(LogSettings)


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayListenSettings:
    host: str = _options.address(
        'Address for callers, health and metrics.', default='127.0.0.1'
    )
    port: int = _port('Port for callers; 0 takes a free one.', 8080)
    connections: int = _options.integer(
        'Connections of callers at once; more are told so and closed.',
        default=2_000,
        low=1,
        high=1_000_000,
        unit='connections',
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersSettings:
    host: str = _options.address(
        'Address for links from other gateways.', default='127.0.0.1'
    )
    port: int = _port(
        'Port for links from other gateways; 0 takes a free one.', 8090
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetrySettings:
    share: float = _options.number(
        'Retries allowed per caller and service, as a share of its first '
        'attempts.',
        default=0.1,
        low=0.0,
        high=1.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsSettings:
    caller_in_flight: int = _options.integer(
        'Requests of one caller in flight at once.',
        default=256,
        low=1,
        high=100_000,
        unit='requests',
    )
    caller_rate_per_s: float = _options.number(
        'Requests of one caller admitted a second, on average.',
        default=1_000.0,
        low=0.001,
        high=1_000_000.0,
        unit='requests/s',
    )
    body_bytes_in_flight: int = _options.integer(
        'Size of the request bodies held at once, all together.',
        default=33_554_432,
        low=1,
        high=1_000_000_000_000,
        unit='bytes',
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings(CommonSettings):
    """Settings of a gateway."""

    platform: PlatformLinkSettings = _required_section()
    listen: GatewayListenSettings = _section(GatewayListenSettings)
    peers: PeersSettings = _section(PeersSettings)
    retry: RetrySettings = _section(RetrySettings)
    limits: LimitsSettings = _section(LimitsSettings)
    deadline_ms: int = _duration(
        'Deadline of a request that names none.', 30_000
    )
    body_limit_bytes: int = _options.integer(
        'Largest request body taken.',
        default=1_048_576,
        low=1,
        high=1_073_741_824,
        unit='bytes',
    )
    slow_client_timeout_ms: int = _duration(
        'How long a caller may take none of its answer before it is '
        'disconnected.',
        20_000,
    )
    stop_notice_ms: int = _duration(
        'How long a gateway that stops goes on taking requests while '
        '/readyz says that it is not ready, so that the balancer sees it.',
        2_000,
        low=0,
    )
    stop_grace_ms: int = _duration(
        'Longest graceful stop; far above the longest answer.',
        10 * MINUTE_MS,
    )
    instance_poll_ms: int = _duration(
        'Pause between reads of the instance list.', 1_000
    )
    config_poll_ms: int = _duration(
        'Pause between reads of the configuration stream, for the gateways '
        'that read it.',
        500,
    )
    tick_ms: int = _duration(
        'Pause between ticks of the reducer.', 50, high=MINUTE_MS
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SidecarListenSettings:
    host: str = _options.address(
        'Address for links from gateways.', default='127.0.0.1'
    )
    port: int = _port(
        'Fixed port, bound exclusively: it keeps a second sidecar from '
        'starting beside the same endpoint.',
        8100,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusSettings:
    enabled: bool = _options.flag(
        'Whether health, readiness, status and metrics are given out.',
        default=True,
    )
    host: str = _options.address(
        'Address for health, readiness, status and metrics.',
        default='127.0.0.1',
    )
    port: int = _port(
        'Port for health, readiness, status and metrics; 0 takes a free one.',
        8101,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSettings:
    url: str = _options.http_url('The endpoint beside this sidecar.')
    kind: EndpointKind = _options.choice(
        'Model engine, or plain service.',
        EndpointKind,
        default=EndpointKind.ENGINE,
    )
    checks_fencing: bool = _options.flag(
        'Whether the endpoint refuses orders with an old fencing number.',
        default=False,
    )
    concurrency: int = _options.integer(
        'Requests that run on the endpoint at once.',
        default=32,
        low=1,
        high=100_000,
        unit='requests',
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SidecarSettings(CommonSettings):
    """Settings of a sidecar."""

    platform: PlatformLinkSettings = _required_section()
    service: str = _options.text('Service that the endpoint belongs to.')
    endpoint: EndpointSettings = _required_section()
    listen: SidecarListenSettings = _section(SidecarListenSettings)
    status: StatusSettings = _section(StatusSettings)
    load_timeout_ms: int = _duration(
        'After this an adapter load counts as failed.', 15_000
    )
    status_poll_ms: int = _duration(
        "Pause between reads of the endpoint's status.", 500
    )
    queue_limit: int = _options.integer(
        'Requests that wait for the endpoint; more are refused as not run.',
        default=256,
        low=0,
        high=1_000_000,
        unit='requests',
    )
    stop_grace_ms: int = _duration(
        'Longest graceful stop; far above the longest answer.',
        10 * MINUTE_MS,
    )
    tick_ms: int = _duration(
        'Pause between ticks of the reducer.', 50, high=MINUTE_MS
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformListenSettings:
    host: str = _options.address(
        'Address of the stand-in platform.', default='127.0.0.1'
    )
    port: int = _port(
        'Port of the stand-in platform; 0 takes a free one.', 8001
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformLogSettings:
    level: LogLevel = _options.choice(
        'Least severity that is logged.', LogLevel, default=LogLevel.INFO
    )
    appends_per_s: float = _options.number(
        'Appends that the log service takes a second.',
        default=300.0,
        low=0.001,
        high=1_000_000.0,
        unit='appends/s',
    )
    retention_ms: int = _duration(
        'Records older than this are cut off.', HOUR_MS, high=30 * DAY_MS
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformInstancesSettings:
    lag_ms: int = _duration(
        'How late the instance list shows a change.', 1_500, low=0
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformWeightsSettings:
    loads_per_s: float = _options.number(
        'Loads that the weight store allows a second.',
        default=2.0,
        low=0.001,
        high=1_000_000.0,
        unit='loads/s',
    )
    load_ms: int = _duration(
        'Time of one load when it runs alone.', 500, low=0
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings(CommonSettings):
    """Settings of the stand-in platform."""

    listen: PlatformListenSettings = _section(PlatformListenSettings)
    log: PlatformLogSettings = _section(PlatformLogSettings)
    instances: PlatformInstancesSettings = _section(PlatformInstancesSettings)
    weights: PlatformWeightsSettings = _section(PlatformWeightsSettings)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineListenSettings:
    host: str = _options.address(
        'Address of the stand-in engine.', default='127.0.0.1'
    )
    port: int = _port('Port of the stand-in engine; 0 takes a free one.', 8200)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSettings(CommonSettings):
    """Settings of the stand-in model engine."""

    platform: PlatformLinkSettings = _required_section()
    listen: EngineListenSettings = _section(EngineListenSettings)
    slots: int = _options.integer(
        'Adapters held at once.', default=4, low=1, high=10_000
    )
    batch_limit: int = _options.integer(
        'Requests in one batch.', default=8, low=1, high=10_000
    )
    token_ms: int = _duration('Time of one decoding step.', 20, low=0)
    prefill_ms_per_1000_tokens: int = _duration(
        'Time to read 1000 prompt tokens.', 50, low=0
    )
    status_lag_ms: int = _duration(
        'How late the reported load is.', 500, low=0
    )
    checks_fencing: bool = _options.flag(
        'Whether orders with an old fencing number are refused.',
        default=False,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceListenSettings:
    host: str = _options.address(
        'Address of the stand-in service.', default='127.0.0.1'
    )
    port: int = _port(
        'Port of the stand-in service; 0 takes a free one.', 8300
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSettings(CommonSettings):
    """Settings of the stand-in plain service."""

    listen: ServiceListenSettings = _section(ServiceListenSettings)
    work_ms: int = _duration('Time that one request takes.', 20, low=0)


SETTINGS_TYPES = {
    Role.GATEWAY: GatewaySettings,
    Role.SIDECAR: SidecarSettings,
    Role.PLATFORM: PlatformSettings,
    Role.ENGINE: EngineSettings,
    Role.SERVICE: ServiceSettings,
    Role.REPLAY: _replay.ReplaySettings,
}
