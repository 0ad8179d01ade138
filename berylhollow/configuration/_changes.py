"""Changes to a configuration and the code that applies them."""

import collections.abc
import dataclasses
import enum

from berylhollow.configuration import _configuration
from berylhollow import manifest


class EntityKind(enum.IntEnum):
    """The kind of entity that a delta changes, as numbered in records."""

    SERVICE = 1
    ADAPTER = 2
    CALLER = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Declare a service, adapter or caller, or replace its declaration."""

    entity: manifest.Entity


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Remove a declaration; the change is invalid if there is none."""

    kind: EntityKind
    name: str


Delta = Put | Remove


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of the configuration that an operator requests.

    It is accepted only while ``base_revision`` is in force. ``change_id`` is
    unique for every change; ``operator`` is the display name of the operator.
    ``whole`` replaces the entire configuration and excludes ``deltas``.
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

    Services come before the adapters that refer to them, removals last.
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
        wanted_names = {entity.name for entity in entities}
        removed = sorted(name for name in present if name not in wanted_names)
        removals += [Remove(kind, name) for name in removed]
    return (*puts, *removals)


def apply(
    before: _configuration.Configuration, change: Change, revision: int
) -> tuple[_configuration.Configuration, Faults]:
    """Return the configuration after a change and the faults found.

    If there are faults, ``before`` is returned unchanged. This function is
    part of acceptance rule 1.
    """
    if change.whole is not None:
        faults = _check_whole(change)
        if faults:
            return before, faults
        return _configuration.from_manifest(change.whole, revision), []
    after, faults = _apply_deltas(before, change.deltas, revision)
    if not faults:
        faults += _check_adapter_services(after, change.deltas)
    return (before if faults else after), faults


def _check_whole(change: Change) -> Faults:
    if change.deltas:
        return [manifest.Fault('change', 'holds both a manifest and deltas')]
    return manifest.check(change.whole)


def _apply_deltas(before, deltas, revision):
    faults: Faults = []
    entities_by_kind = {
        kind: getattr(before, section).mutate()
        for kind, section in SECTIONS.items()
    }
    for index, delta in enumerate(deltas):
        path = f'deltas[{index}]'
        if isinstance(delta, Put):
            faults += manifest.check_entity(delta.entity, path)
            entities_by_kind[KINDS[type(delta.entity)]][delta.entity.name] = (
                delta.entity
            )
        elif delta.name in entities_by_kind[delta.kind]:
            del entities_by_kind[delta.kind][delta.name]
        else:
            text = f'{delta.name!r} is not declared'
            faults.append(manifest.Fault(path, text))
    sections = {
        section: entities_by_kind[kind].finish()
        for kind, section in SECTIONS.items()
    }
    after = _configuration.Configuration(revision, **sections)
    return after, faults


def _check_adapter_services(
    after: _configuration.Configuration,
    deltas: collections.abc.Sequence[Delta],
) -> Faults:
    """Check the adapters whose reference to a service may have broken."""
    changed_names = {
        kind: {_name_of(delta) for delta in deltas if _kind_of(delta) is kind}
        for kind in (EntityKind.SERVICE, EntityKind.ADAPTER)
    }
    names: collections.abc.Iterable[str] = changed_names[EntityKind.ADAPTER]
    if changed_names[EntityKind.SERVICE]:
        names = after.adapters
    faults: Faults = []
    for name in sorted(names):
        adapter = after.adapters.get(name)
        if adapter is not None:
            service = after.services.get(adapter.service)
            path = f'adapter {name!r}'
            faults += manifest.check_adapter_service(adapter, service, path)
    return faults


def _kind_of(delta: Delta) -> EntityKind:
    return KINDS[type(delta.entity)] if isinstance(delta, Put) else delta.kind


def _name_of(delta: Delta) -> str:
    return delta.entity.name if isinstance(delta, Put) else delta.name
