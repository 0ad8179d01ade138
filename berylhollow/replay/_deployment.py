"""A world built from replay settings: gateways, sidecars and endpoints."""

import collections.abc
import dataclasses
import pathlib

from berylhollow import configuration
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import gateway
from berylhollow import manifest
from berylhollow.replay import _trace
from berylhollow.replay import _world
from berylhollow import settings
from berylhollow import sidecar
from berylhollow.standin import engine_types
from berylhollow.standin import weights

SETTLED_MS = 5000
"""By then every link is open and every endpoint has reported."""


@dataclasses.dataclass
class FixedFollower(following.UnsharedRecords):
    """A follower of a configuration that is there from the start."""

    current: configuration.Configuration

    def start(self, at_ms: int) -> list[effects.Effect]:
        return []

    def handle(self, event: events.Event) -> list[effects.Effect]:
        return []

    def tick(self, at_ms, live_gateways, peers, self_id):
        return []


def load_manifest(
    path: pathlib.Path, declared: settings.ReplaySettings
) -> manifest.Manifest:
    """Return the manifest that the settings at ``path`` name."""
    if not declared.manifest:
        return manifest.Manifest()
    return manifest.load(path.parent / declared.manifest)


def configure(
    given: manifest.Manifest,
    declared: settings.ReplaySettings,
    items: collections.abc.Sequence[_trace.TraceItem],
) -> configuration.Configuration:
    """Return a configuration that also declares all that a trace names."""
    services = {service.name: service for service in given.services}
    services.setdefault(
        declared.engines.service,
        manifest.Service(declared.engines.service, base_model='base'),
    )
    services.setdefault(
        declared.plain.service,
        manifest.Service(declared.plain.service, manifest.ServiceKind.PLAIN),
    )
    adapters = {adapter.name: adapter for adapter in given.adapters}
    for item in items:
        if isinstance(item, _trace.TraceRequest) and item.adapter:
            _declare(adapters, item)
    return configuration.from_manifest(
        manifest.Manifest(
            tuple(services.values()), tuple(adapters.values()), given.callers
        ),
        revision=1,
    )


def build(
    declared: settings.ReplaySettings,
    view: configuration.Configuration,
    policy_name: str,
    seed: int,
    reduce_sidecar=sidecar.reduce,
) -> _world.World:
    """Return a world of this deployment that has just started.

    ``reduce_sidecar`` may look at what the sidecars' reducer does.
    """
    latency = declared.latency
    world = _world.World(
        seed,
        _world.Latencies(
            latency.caller_ms,
            latency.link_ms,
            latency.platform_ms,
            latency.endpoint_ms,
            latency.tick_ms,
        ),
        lean=True,
        weight_limits=weights.WeightLimits(
            declared.weights.loads_per_s,
            declared.weights.burst,
            declared.weights.load_ms,
            declared.weights.contention,
        ),
    )
    domains = [x.strip() for x in declared.failure_domains.split(',')]
    _add_engines(world, declared, view, policy_name, domains, reduce_sidecar)
    _add_services(world, declared, view, policy_name, domains)
    for number in range(declared.gateways):
        name = f'gateway-{number + 1}'
        domain = domains[number % len(domains)]
        options = gateway.Options(
            instance=name, failure_domain=domain, policy=policy_name
        )
        world.add_gateway(
            name, gateway.reduce, _gateway(options, view), domain
        )
    return world


def _declare(adapters: dict, item: _trace.TraceRequest) -> None:
    version = manifest.Version(item.version)
    known = adapters.get(item.adapter)
    if known is None:
        adapters[item.adapter] = manifest.Adapter(
            item.adapter, item.service, versions=(version,)
        )
    elif version not in known.versions:
        adapters[item.adapter] = dataclasses.replace(
            known, versions=(*known.versions, version)
        )


def _add_engines(
    world, declared, view, policy_name, domains, reduce_sidecar
) -> None:
    engines = declared.engines
    limits = engine_types.EngineLimits(
        slot_count=engines.slots,
        batch_limit=engines.batch_limit,
        step_ms=engines.step_ms,
        request_ms=engines.request_ms,
        adapter_ms=engines.adapter_ms,
        prefill_ms=engines.prefill_ms,
        status_lag_ms=engines.status_lag_ms,
        restart_ms=engines.restart_ms,
    )
    for number in range(engines.count):
        name = f'engine-{number + 1}'
        domain = domains[number % len(domains)]
        world.add_engine(name, limits)
        options = sidecar.Options(
            instance=name,
            service=engines.service,
            failure_domain=domain,
            policy=policy_name,
            report_ms=declared.report_ms,
        )
        world.add_sidecar(
            name,
            engines.service,
            reduce_sidecar,
            _sidecar(options, view),
            domain,
        )


def _add_services(world, declared, view, policy_name, domains) -> None:
    for number in range(declared.plain.count):
        name = f'plain-{number + 1}'
        domain = domains[number % len(domains)]
        world.add_service(name, declared.plain.work_ms)
        options = sidecar.Options(
            instance=name,
            service=declared.plain.service,
            failure_domain=domain,
            plain=True,
            policy=policy_name,
            report_ms=declared.report_ms,
        )
        world.add_sidecar(
            name,
            declared.plain.service,
            sidecar.reduce,
            _sidecar(options, view),
            domain,
        )


def _gateway(options: gateway.Options, view):
    return lambda: gateway.State(options, FixedFollower(view))


def _sidecar(options: sidecar.Options, view):
    return lambda: sidecar.State(options, FixedFollower(view))
