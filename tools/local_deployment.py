"""The deployment that ``run_local`` starts: its processes and manifest."""

import dataclasses

from berylhollow import log_service

HOST = '127.0.0.1'
PLATFORM_PORT = 8001
GATEWAY_PORT = 8080
PEER_PORT = 8090
SIDECAR_PORT = 8100
STATUS_PORT = 8150
ENGINE_PORT = 8200
SERVICE_PORT = 8300
PLATFORM_URL = f'http://{HOST}:{PLATFORM_PORT}'
LINK_KEY = 'not-a-secret-local-only'
FAILURE_DOMAINS = ('domain-a', 'domain-b', 'domain-c')
REGION = 'local'
GATEWAYS = 2
ENGINES = 3
PLAIN_SERVICES = 2
ENGINE_SERVICE = 'assistant'
PLAIN_SERVICE = 'register'
ADAPTERS = 60
VERSIONS = ('1', '2')
GATEWAY_URLS = tuple(
    f'http://{HOST}:{GATEWAY_PORT + number}' for number in range(GATEWAYS)
)
GREETING = f"""
ready; paste:

    curl -N http://{HOST}:{GATEWAY_PORT}/v1/chat/completions \\
        -H 'Content-Type: application/json' \\
        -d '{{"model": "a001@1", "stream": true, "max_tokens": 20,
             "messages": [{{"role": "user", "content": "hello"}}]}}'

Ctrl-C stops it.
"""


@dataclasses.dataclass(frozen=True)
class Member:
    """One process: its command, its settings, and where it says it's ready."""

    name: str
    command: tuple[str, ...]
    settings: dict
    ready_url: str = ''


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that a deployment answers when all of it works."""

    method: str
    path: str
    value: dict | None = None


def trial_calls() -> tuple[Call, ...]:
    """Return one call to each service."""
    chat = {
        'model': 'a001@1',
        'max_tokens': 1,
        'messages': [{'role': 'user', 'content': 'hello'}],
    }
    return (
        Call('POST', '/v1/chat/completions', chat),
        Call('GET', f'/v1/services/{PLAIN_SERVICE}/orders/1'),
    )


def groups() -> tuple[tuple[Member, ...], ...]:
    """Return the processes in groups, in the order in which they start."""
    engines = [_engine(number) for number in range(ENGINES)]
    services = [_plain_service(number) for number in range(PLAIN_SERVICES)]
    sidecars = [_engine_sidecar(number) for number in range(ENGINES)]
    sidecars += [_plain_sidecar(number) for number in range(PLAIN_SERVICES)]
    gateways = [_gateway(number) for number in range(GATEWAYS)]
    return (
        (_platform(),),
        (*engines, *services),
        tuple(sidecars),
        tuple(gateways),
    )


def instances() -> tuple[log_service.Instance, ...]:
    """Return the entries of the instance list."""
    engine_sidecars = [
        _entry(f'engine-{number}', ENGINE_SERVICE, number, number)
        for number in range(ENGINES)
    ]
    plain_sidecars = [
        _entry(f'service-{number}', PLAIN_SERVICE, number, ENGINES + number)
        for number in range(PLAIN_SERVICES)
    ]
    gateways = [
        log_service.Instance(
            f'gateway-{number}',
            log_service.Role.GATEWAY,
            '',
            _failure_domain(number),
            REGION,
            f'{HOST}:{PEER_PORT + number}',
        )
        for number in range(GATEWAYS)
    ]
    return (*engine_sidecars, *plain_sidecars, *gateways)


def publish_command(path: str) -> tuple[str, ...]:
    """Return the command that publishes the manifest at ``path``."""
    return ('publish', path, '--platform', PLATFORM_URL)


def manifest() -> dict:
    """Return a manifest of both services and all adapters."""
    versions = [{'version': version} for version in VERSIONS]
    adapters = [
        {
            'name': f'a{number:03}',
            'service': ENGINE_SERVICE,
            'versions': versions,
        }
        for number in range(1, ADAPTERS + 1)
    ]
    services = [
        {'name': ENGINE_SERVICE, 'kind': 'engine', 'base_model': 'base'},
        {'name': PLAIN_SERVICE, 'kind': 'plain'},
    ]
    return {'services': services, 'adapters': adapters}


def _platform() -> Member:
    return Member(
        'platform',
        ('stand-in', 'platform'),
        {
            **_common('platform', 0),
            'listen': {'host': HOST, 'port': PLATFORM_PORT},
        },
        f'{PLATFORM_URL}/healthz',
    )


def _engine(number: int) -> Member:
    name = f'engine-stand-in-{number}'
    port = ENGINE_PORT + number
    return Member(
        name,
        ('stand-in', 'engine'),
        {
            **_common(name, number),
            'platform': {'url': PLATFORM_URL},
            'listen': {'host': HOST, 'port': port},
        },
        f'http://{HOST}:{port}/healthz',
    )


def _plain_service(number: int) -> Member:
    name = f'service-stand-in-{number}'
    port = SERVICE_PORT + number
    return Member(
        name,
        ('stand-in', 'service'),
        {
            **_common(name, number),
            'listen': {'host': HOST, 'port': port},
        },
        f'http://{HOST}:{port}/healthz',
    )


def _engine_sidecar(number: int) -> Member:
    endpoint = {
        'url': f'http://{HOST}:{ENGINE_PORT + number}',
        'kind': 'engine',
    }
    name = f'engine-{number}'
    return _sidecar(name, ENGINE_SERVICE, endpoint, number, number)


def _plain_sidecar(number: int) -> Member:
    endpoint = {
        'url': f'http://{HOST}:{SERVICE_PORT + number}',
        'kind': 'plain',
    }
    name = f'service-{number}'
    return _sidecar(name, PLAIN_SERVICE, endpoint, number, ENGINES + number)


def _sidecar(
    name: str, service: str, endpoint: dict, number: int, port_number: int
) -> Member:
    settings = {
        **_common(name, number),
        'platform': {'url': PLATFORM_URL},
        'service': service,
        'endpoint': endpoint,
        'listen': {'host': HOST, 'port': SIDECAR_PORT + port_number},
        'status': {'host': HOST, 'port': STATUS_PORT + port_number},
    }
    url = f'http://{HOST}:{STATUS_PORT + port_number}/healthz'
    return Member(f'sidecar-{name}', ('sidecar',), settings, url)


def _gateway(number: int) -> Member:
    name = f'gateway-{number}'
    port = GATEWAY_PORT + number
    settings = {
        **_common(name, number),
        'platform': {'url': PLATFORM_URL},
        'listen': {'host': HOST, 'port': port},
        'peers': {'host': HOST, 'port': PEER_PORT + number},
    }
    return Member(name, ('gateway',), settings, f'http://{HOST}:{port}/readyz')


def _entry(
    name: str, service: str, number: int, port_number: int
) -> log_service.Instance:
    return log_service.Instance(
        name,
        log_service.Role.ENDPOINT,
        service,
        _failure_domain(number),
        REGION,
        f'{HOST}:{SIDECAR_PORT + port_number}',
    )


def _common(instance: str, number: int) -> dict:
    return {
        'instance': instance,
        'failure_domain': _failure_domain(number),
        'region': REGION,
        'link_key': LINK_KEY,
    }


def _failure_domain(number: int) -> str:
    return FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
