"""Entities and deltas as CBOR arrays, checked type for type when read."""

import functools
import sys

from berylhollow.configuration import _changes
from berylhollow import manifest

LONGEST_TEXT = 256
LARGEST_INTEGER = 2**62
SHARED_VERSIONS = 4096


class MalformedRecord(ValueError):
    """The bytes are no record of this kind, in any software version."""


def encode_delta(delta: _changes.Delta) -> list:
    """Return a removal as [-kind, name], anything else as the entity."""
    if isinstance(delta, _changes.Remove):
        return [-delta.kind, delta.name]
    return encode_entity(delta.entity)


def decode_delta(value: object) -> _changes.Delta:
    """Return the delta of an array; raises ``MalformedRecord``."""
    items = array(value)
    if len(items) == 2 and type(items[0]) is int and items[0] < 0:
        try:
            kind = _changes.EntityKind(-items[0])
        except ValueError as error:
            raise MalformedRecord('no kind of entity') from error
        return _changes.Remove(kind, text(items[1]))
    return _changes.Put(decode_entity(items))


def encode_entity(entity: manifest.Entity) -> list:
    """Return an entity as [kind, name, ...]."""
    kind = int(_changes.KINDS[type(entity)])
    if isinstance(entity, manifest.Adapter):
        versions = [[item.version, item.servable] for item in entity.versions]
        return [kind, entity.name, entity.service, entity.priority, versions]
    limits = [entity.limits.in_flight, entity.limits.rate_per_s]
    if isinstance(entity, manifest.Caller):
        return [kind, entity.name, entity.weight, *limits]
    return [
        kind,
        entity.name,
        str(entity.kind),
        entity.base_model,
        entity.checks_fencing,
        entity.load_stall_weight,
        entity.batch_efficiency_weight,
        *limits,
    ]


def decode_entity(value: object) -> manifest.Entity:
    """Return the entity of an array; raises ``MalformedRecord``."""
    kind, *fields = array(value) or [None]
    if kind == _changes.EntityKind.ADAPTER and len(fields) == 4:
        return _decode_adapter(*fields)
    if kind == _changes.EntityKind.SERVICE and len(fields) == 8:
        return _decode_service(*fields)
    if kind == _changes.EntityKind.CALLER and len(fields) == 4:
        return _decode_caller(*fields)
    raise MalformedRecord('no kind of entity')


def _decode_adapter(name, service, priority, versions) -> manifest.Adapter:
    pairs = tuple(tuple(array(item, 2)) for item in array(versions))
    for version, servable in pairs:
        text(version)
        typed(servable, bool)
    return manifest.Adapter(
        text(name),
        sys.intern(text(service)),
        integer(priority),
        _versions(pairs),
    )


@functools.lru_cache(SHARED_VERSIONS)
def _versions(pairs: tuple) -> tuple[manifest.Version, ...]:
    """Return the versions; adapters with the same ones share the object.

    Most adapters have few versions with common names: sharing them halves
    the memory that an adapter takes.
    """
    return tuple(manifest.Version(*pair) for pair in pairs)


def _decode_service(
    name, kind, base_model, checks_fencing, stall, efficiency, in_flight, rate
) -> manifest.Service:
    try:
        service_kind = manifest.ServiceKind(text(kind))
    except ValueError as error:
        raise MalformedRecord('no kind of service') from error
    return manifest.Service(
        text(name),
        service_kind,
        text(base_model),
        typed(checks_fencing, bool),
        typed(stall, float),
        typed(efficiency, float),
        _decode_limits(in_flight, rate),
    )


def _decode_caller(name, weight, in_flight, rate) -> manifest.Caller:
    limits = _decode_limits(in_flight, rate)
    return manifest.Caller(text(name), typed(weight, float), limits)


def _decode_limits(in_flight, rate) -> manifest.Limits:
    if in_flight is not None:
        integer(in_flight)
    if rate is not None:
        typed(rate, float)
    return manifest.Limits(in_flight, rate)


def array(value: object, count: int | None = None) -> list:
    """Return an array, of ``count`` items if that is given."""
    items = typed(value, list)
    if count is not None and len(items) != count:
        raise MalformedRecord('an array of another length')
    return items


def text(value: object) -> str:
    """Return a text of bounded length."""
    if len(typed(value, str)) > LONGEST_TEXT:
        raise MalformedRecord('a text is too long')
    return value


def integer(value: object) -> int:
    """Return an integer that any software can hold, and print."""
    if abs(typed(value, int)) > LARGEST_INTEGER:
        raise MalformedRecord('an integer out of range')
    return value


def typed(value, wanted: type):
    """Return a value of exactly this type.

    Not of a subclass: True would pass for 1, and mean another thing to
    software that checks less.
    """
    if type(value) is not wanted:
        raise MalformedRecord(f'a {wanted.__name__} is expected')
    return value
