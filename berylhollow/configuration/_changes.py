"""Changes to a configuration: what they hold, and applying them."""

import collections.abc
import dataclasses
import enum

from berylhollow.configuration import _configuration
from berylhollow import manifest


class EntityKind(enum.IntEnum):
    """What a delta is about; the numbers are those of the records."""

    SERVICE = 1
    ADAPTER = 2
    CALLER = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Declare a service, adapter or caller, or replace its declaration."""

    entity: manifest.Entity


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Take back a declaration; one that is not there is a fault."""

    kind: EntityKind
    name: str


Delta = Put | Remove


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change that an operator asks for.

    It is accepted only while ``base_revision`` is in force. ``change_id`` is
    unique for every change; ``operator`` is who asks, as it is to be shown.
    ``whole`` replaces everything and excludes ``deltas``.
    """

    base_revision: int
    operator: str
    change_id: str
    deltas: tuple[Delta, ...] = ()
    whole: manifest.Manifest | None = None


SECTIONS = {
    EntityKind.SERVICE: 'services',
    EntityKind.ADAPTER: 'adapters',
    EntityKind.CALLER: 'callers',
}
KINDS = {
    manifest.Service: EntityKind.SERVICE,
    manifest.Adapter: EntityKind.ADAPTER,
    manifest.Caller: EntityKind.CALLER,
}

Faults = list[manifest.Fault]


def difference(
    before: _configuration.Configuration, wanted: manifest.Manifest
) -> tuple[Delta, ...]:
    """Return the deltas that turn a configuration into a manifest.

    Services come before the adapters that name them, removals last.
    """
    puts: list[Delta] = []
    removals: list[Delta] = []
    for kind, section in SECTIONS.items():
        present = getattr(before, section)
        entities = getattr(wanted, section)
        puts += [
            Put(entity)
            for entity in entities
            if present.get(entity.name) != entity
        ]
        kept = {entity.name for entity in entities}
        gone = sorted(name for name in present if name not in kept)
        removals += [Remove(kind, name) for name in gone]
    return (*puts, *removals)


def apply(
    before: _configuration.Configuration, change: Change, revision: int
) -> tuple[_configuration.Configuration, Faults]:
    """Return the configuration after a change, and why it is invalid.

    With faults the configuration returned is the one before. Part of
    acceptance rule 1.
    """
    if change.whole is not None:
        faults = _check_whole(change)
        if faults:
            return before, faults
        return _configuration.from_manifest(change.whole, revision), []
    after, faults = _apply_deltas(before, change.deltas, revision)
    if not faults:
        faults += _check_services_of_adapters(after, change.deltas)
    return (before if faults else after), faults


def _check_whole(change: Change) -> Faults:
    if change.deltas:
        return [manifest.Fault('change', 'has a manifest and deltas')]
    return manifest.check(change.whole)


def _apply_deltas(before, deltas, revision):
    faults: Faults = []
    maps = {
        kind: getattr(before, section).mutate()
        for kind, section in SECTIONS.items()
    }
    for index, delta in enumerate(deltas):
        path = f'deltas[{index}]'
        if isinstance(delta, Put):
            faults += manifest.check_entity(delta.entity, path)
            maps[KINDS[type(delta.entity)]][delta.entity.name] = delta.entity
        elif delta.name in maps[delta.kind]:
            del maps[delta.kind][delta.name]
        else:
            text = f'{delta.name!r} is not declared'
            faults.append(manifest.Fault(path, text))
    sections = {
        section: maps[kind].finish() for kind, section in SECTIONS.items()
    }
    after = _configuration.Configuration(revision, **sections)
    return after, faults


def _check_services_of_adapters(
    after: _configuration.Configuration,
    deltas: collections.abc.Sequence[Delta],
) -> Faults:
    """Check the adapters that a change can have parted from a service."""
    touched = {
        kind: {_name(delta) for delta in deltas if _kind(delta) is kind}
        for kind in (EntityKind.SERVICE, EntityKind.ADAPTER)
    }
    names: collections.abc.Iterable[str] = touched[EntityKind.ADAPTER]
    if touched[EntityKind.SERVICE]:
        names = after.adapters
    faults: Faults = []
    for name in sorted(names):
        adapter = after.adapters.get(name)
        if adapter is not None:
            service = after.services.get(adapter.service)
            path = f'adapter {name!r}'
            faults += manifest.check_adapter_service(adapter, service, path)
    return faults


def _kind(delta: Delta) -> EntityKind:
    return KINDS[type(delta.entity)] if isinstance(delta, Put) else delta.kind


def _name(delta: Delta) -> str:
    return delta.entity.name if isinstance(delta, Put) else delta.name
