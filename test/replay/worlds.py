"""Builders of worlds for tests: some gateways, engines and services."""

from berylhollow import gateway
from berylhollow import replay
from berylhollow import sidecar
from test import builders

SETTLED_MS = 5000
"""By then every link is open and every endpoint has reported."""


def world(engines=('e1', 'e2'), services=('p1',), **options):
    """Return a world with two gateways that has settled."""
    made = replay.World(**options)
    for name in engines:
        made.add_engine(name)
        made.add_sidecar(
            name, builders.SERVICE, sidecar.reduce, sidecar_maker(name)
        )
    for name in services:
        made.add_service(name)
        made.add_sidecar(
            name,
            builders.PLAIN_SERVICE,
            sidecar.reduce,
            sidecar_maker(name, service=builders.PLAIN_SERVICE, plain=True),
        )
    for name in ('g1', 'g2'):
        made.add_gateway(name, gateway.reduce, gateway_maker(name))
    made.run_until(SETTLED_MS)
    return made


def sidecar_maker(name, **options):
    """Return a maker of sidecars that ask for permits, as real ones do."""
    real = sidecar.Options(instance=name, service=builders.SERVICE)
    values = {
        'coordinator_silence_ms': real.coordinator_silence_ms,
        'load_interval_ms': real.load_interval_ms,
    }
    return lambda: builders.sidecar_state(name, **(values | options))


def gateway_maker(name, **options):
    return lambda: builders.gateway_state(name, **options)


def model_request(number, **changes):
    values = {
        'request_id': f'r{number}',
        'body': b'body-%d' % number,
        'prompt_tokens': 8,
        'output_tokens': 10,
    }
    return builders.request(**(values | changes))


def plain_request(number, **changes):
    values = {
        'request_id': f'r{number}',
        'body': b'body-%d' % number,
        'adapter': None,
        'service': builders.PLAIN_SERVICE,
        'key': f'key-{number}',
    }
    return builders.request(**(values | changes))
