"""Semantic validation of a manifest, beyond its syntax and types.

Every process uses these checks to decide whether a change on the log is
accepted. They are part of acceptance rule 1: see ``configuration`` before
changing any. They must not depend on anything that differs between versions
of Python or of a library, such as the Unicode tables.
"""

import collections
import collections.abc
import re

from berylhollow.manifest import _types

NAME_LENGTH = 128
NAME = re.compile(rf'[A-Za-z0-9][A-Za-z0-9._-]{{0,{NAME_LENGTH - 1}}}')
PATH_NAME = re.compile(rf'[A-Za-z0-9][A-Za-z0-9._/:-]{{0,{NAME_LENGTH - 1}}}')
NAME_RULE = (
    f'must be 1 to {NAME_LENGTH} letters, digits, ".", "_" or "-" and begin '
    'with a letter or digit'
)
PATH_NAME_RULE = (
    f'must be 1 to {NAME_LENGTH} letters, digits, ".", "_", "-", "/" or ":" '
    'and begin with a letter or digit'
)
MAX_PRIORITY = 1000
MAX_WEIGHT = 1000.0
MAX_IN_FLIGHT = 10_000_000
MAX_RATE_PER_S = 10_000_000.0
MAX_VERSIONS = 1000

Faults = collections.abc.Iterator[_types.Fault]


def check(manifest: _types.Manifest) -> list[_types.Fault]:
    """Return every fault of a manifest; the list is empty if it is valid.

    An entity that is None was malformed and is skipped.
    """
    faults: list[_types.Fault] = []
    for section in ('services', 'adapters', 'callers'):
        entities = getattr(manifest, section)
        faults += _check_unique(section, entities)
        for index, entity in enumerate(entities):
            if entity is not None:
                faults += check_entity(entity, f'{section}[{index}]')
    if None not in manifest.services:
        faults += _check_services_of_adapters(manifest)
    return faults


def _check_services_of_adapters(manifest: _types.Manifest) -> Faults:
    services = {service.name: service for service in manifest.services}
    for index, adapter in enumerate(manifest.adapters):
        if adapter is not None:
            yield from check_adapter_service(
                adapter, services.get(adapter.service), f'adapters[{index}]'
            )


def check_entity(entity: _types.Entity, path: str) -> Faults:
    """Yield the faults of a single service, adapter or caller."""
    if isinstance(entity, _types.Service):
        return _check_service(entity, path)
    if isinstance(entity, _types.Adapter):
        return _check_adapter(entity, path)
    return _check_caller(entity, path)


def check_adapter_service(
    adapter: _types.Adapter, service: _types.Service | None, path: str
) -> Faults:
    """Yield the faults in an adapter's reference to its service."""
    if service is None:
        yield _types.Fault(
            f'{path}.service',
            f'{adapter.service!r} is not a declared service',
        )
    elif service.kind is not _types.ServiceKind.ENGINE:
        yield _types.Fault(
            f'{path}.service',
            f'{adapter.service!r} is not an engine service',
        )


def _check_unique(section: str, entities: tuple) -> Faults:
    names = collections.Counter(
        entity.name for entity in entities if entity is not None
    )
    for name, count in names.items():
        if count > 1:
            yield _types.Fault(section, f'{name!r} is declared {count} times')


def _check_service(service: _types.Service, path: str) -> Faults:
    yield from _check_name(service.name, f'{path}.name')
    if service.kind is _types.ServiceKind.ENGINE:
        yield from _check_path_name(service.base_model, f'{path}.base_model')
    elif service.base_model:
        yield _types.Fault(
            f'{path}.base_model', 'a plain service has no base model'
        )
    for field in ('load_stall_weight', 'batch_efficiency_weight'):
        yield from _check_range(
            getattr(service, field), 0.0, MAX_WEIGHT, f'{path}.{field}'
        )
    yield from _check_limits(service.limits, f'{path}.limits')


def _check_adapter(adapter: _types.Adapter, path: str) -> Faults:
    yield from _check_path_name(adapter.name, f'{path}.name')
    yield from _check_range(
        adapter.priority, 0, MAX_PRIORITY, f'{path}.priority'
    )
    if not 1 <= len(adapter.versions) <= MAX_VERSIONS:
        yield _types.Fault(
            f'{path}.versions', f'must be 1 to {MAX_VERSIONS} versions'
        )
    seen_versions = set()
    for index, version in enumerate(adapter.versions):
        version_path = f'{path}.versions[{index}].version'
        yield from _check_name(version.version, version_path)
        if version.version in seen_versions:
            yield _types.Fault(
                version_path, f'{version.version!r} is repeated'
            )
        seen_versions.add(version.version)


def _check_caller(caller: _types.Caller, path: str) -> Faults:
    yield from _check_path_name(caller.name, f'{path}.name')
    yield from _check_range(caller.weight, 0.001, MAX_WEIGHT, f'{path}.weight')
    yield from _check_limits(caller.limits, f'{path}.limits')


def _check_limits(limits: _types.Limits, path: str) -> Faults:
    if limits.in_flight is not None:
        yield from _check_range(
            limits.in_flight, 1, MAX_IN_FLIGHT, f'{path}.in_flight'
        )
    if limits.rate_per_s is not None:
        yield from _check_range(
            limits.rate_per_s, 0.001, MAX_RATE_PER_S, f'{path}.rate_per_s'
        )


def _check_name(name: str, path: str) -> Faults:
    if NAME.fullmatch(name) is None:
        yield _types.Fault(path, f'{NAME_RULE}, not {name!r}')


def _check_path_name(name: str, path: str) -> Faults:
    if PATH_NAME.fullmatch(name) is None:
        yield _types.Fault(path, f'{PATH_NAME_RULE}, not {name!r}')


def _check_range(value: float, low: float, high: float, path: str) -> Faults:
    # Written this way to reject NaN too, for which all comparisons are false.
    if not low <= value <= high:
        yield _types.Fault(path, f'must be from {low} to {high}, not {value}')
