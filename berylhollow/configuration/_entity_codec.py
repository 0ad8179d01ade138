"""Codec of entities and deltas as CBOR arrays, with strict type checks."""

import functools
import sys

from berylhollow.configuration import _changes
from berylhollow import manifest

MAX_TEXT_LENGTH = 256
MAX_INTEGER = 2**62
VERSIONS_CACHE_SIZE = 4096


class MalformedRecord(ValueError):
    """The data is not a valid record in any software version."""


def encode_delta(delta: _changes.Delta) -> list:
    """Encode a removal as [-kind, name] and a put as its entity."""
    if isinstance(delta, _changes.Remove):
        return [-delta.kind, delta.name]
    return encode_entity(delta.entity)


def decode_delta(value: object) -> _changes.Delta:
    """Decode a delta; raises ``MalformedRecord``."""
    items = expect_array(value)
    if len(items) == 2 and type(items[0]) is int and items[0] < 0:
        try:
            kind = _changes.EntityKind(-items[0])
        except ValueError as error:
            raise MalformedRecord('unknown kind of entity') from error
        return _changes.Remove(kind, expect_text(items[1]))
    return _changes.Put(decode_entity(items))


def encode_entity(entity: manifest.Entity) -> list:
    """Encode an entity as [kind, name, ...]."""
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
    """Decode an entity; raises ``MalformedRecord``."""
    kind, *fields = expect_array(value) or [None]
    if kind == _changes.EntityKind.ADAPTER and len(fields) == 4:
        return _decode_adapter(*fields)
    if kind == _changes.EntityKind.SERVICE and len(fields) == 8:
        return _decode_service(*fields)
    if kind == _changes.EntityKind.CALLER and len(fields) == 4:
        return _decode_caller(*fields)
    raise MalformedRecord('unknown kind of entity or number of fields')


def _decode_adapter(name, service, priority, versions) -> manifest.Adapter:
    pairs = tuple(
        tuple(expect_array(item, 2)) for item in expect_array(versions)
    )
    for version, servable in pairs:
        expect_text(version)
        expect_type(servable, bool)
    return manifest.Adapter(
        expect_text(name),
        sys.intern(expect_text(service)),
        expect_integer(priority),
        _shared_versions(pairs),
    )


@functools.lru_cache(VERSIONS_CACHE_SIZE)
def _shared_versions(pairs: tuple) -> tuple[manifest.Version, ...]:
    """Return the versions, as one tuple for all adapters with equal ones.

    Most adapters have few versions with common names, so that sharing halves
    the memory that an adapter takes.
    """
    return tuple(manifest.Version(*pair) for pair in pairs)


def _decode_service(
    name,
    kind,
    base_model,
    checks_fencing,
    load_stall_weight,
    batch_efficiency_weight,
    in_flight,
    rate,
) -> manifest.Service:
    try:
        service_kind = manifest.ServiceKind(expect_text(kind))
    except ValueError as error:
        raise MalformedRecord('unknown kind of service') from error
    return manifest.Service(
        expect_text(name),
        service_kind,
        expect_text(base_model),
        expect_type(checks_fencing, bool),
        expect_type(load_stall_weight, float),
        expect_type(batch_efficiency_weight, float),
        _decode_limits(in_flight, rate),
    )


def _decode_caller(name, weight, in_flight, rate) -> manifest.Caller:
    limits = _decode_limits(in_flight, rate)
    return manifest.Caller(
        expect_text(name), expect_type(weight, float), limits
    )


def _decode_limits(in_flight, rate) -> manifest.Limits:
    if in_flight is not None:
        expect_integer(in_flight)
    if rate is not None:
        expect_type(rate, float)
    return manifest.Limits(in_flight, rate)


def expect_array(value: object, count: int | None = None) -> list:
    """Return ``value`` if it is an array, of ``count`` items if given."""
    items = expect_type(value, list)
    if count is not None and len(items) != count:
        raise MalformedRecord(
            f'an array of {len(items)} items, expected {count}'
        )
    return items


def expect_text(value: object) -> str:
    """Return ``value`` if it is a text of bounded length."""
    if len(expect_type(value, str)) > MAX_TEXT_LENGTH:
        raise MalformedRecord(
            f'a text is longer than {MAX_TEXT_LENGTH} characters'
        )
    return value


def expect_integer(value: object) -> int:
    """Return ``value`` if it is an integer of bounded size.

    Python refuses to print integers of thousands of digits, and other
    software may not be able to hold them.
    """
    if abs(expect_type(value, int)) > MAX_INTEGER:
        raise MalformedRecord('an integer is out of range')
    return value


def expect_type(value, wanted: type):
    """Return ``value`` if it has exactly the wanted type.

    Subclasses are rejected: otherwise True would be accepted as the integer
    1, and software with weaker checks could read it differently.
    """
    if type(value) is not wanted:
        raise MalformedRecord(
            f'expected {wanted.__name__}, got {type(value).__name__}'
        )
    return value
