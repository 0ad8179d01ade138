"""Records of the streams ``configuration`` and ``snapshots``.

A record is a magic, the number of the rule by which it asks to be judged,
and a body: compressed CBOR, nothing but arrays and scalars. Magic and rule
number never change, so every software version can tell a record that it
can't judge from one that is no record at all.
"""

import dataclasses
import functools
import io
import sys
import zlib

import cbor2

from berylhollow.configuration import _changes
from berylhollow import manifest

RULE = 1
CHANGE_MAGIC = b'bhcf'
SNAPSHOT_MAGIC = b'bhsn'
RULE_BYTES = 2
HEADER_BYTES = len(CHANGE_MAGIC) + RULE_BYTES
# A snapshot says in its header how far it reaches, so that one that is not
# needed is never unpacked.
REACH_BYTES = 8
SNAPSHOT_HEADER_BYTES = HEADER_BYTES + REACH_BYTES
# A body that unpacks to more is malformed: it must not fill the memory of
# every process. 15,000 adapters take about 1 MB.
LARGEST_BODY_BYTES = 16 * 1024 * 1024
LARGEST_OFFSET = 2**62
LONGEST_TEXT = 256
COMPRESSION_LEVEL = 6
SHARED_VERSIONS = 4096
DIGEST_BYTES = 32


class MalformedRecord(ValueError):
    """The bytes are no record of this kind, in any software version."""


class UnknownRule(ValueError):
    """The record asks for a rule that this software does not know."""

    def __init__(self, rule: int):
        super().__init__(f'rule {rule} is newer than this software')
        self.rule = rule


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything that the fold knows before ``next_offset``.

    ``operator`` and ``change_id`` are those of the last accepted change.
    """

    next_offset: int
    revision: int
    digest: bytes
    operator: str
    change_id: str
    declared: manifest.Manifest


def encode_change(change: _changes.Change) -> bytes:
    """Return a change as a record of the configuration stream."""
    whole = None if change.whole is None else _encode_whole(change.whole)
    body = [
        change.base_revision,
        change.operator,
        change.change_id,
        whole,
        [_encode_delta(delta) for delta in change.deltas],
    ]
    return _pack(CHANGE_MAGIC, body)


def decode_change(data: bytes) -> _changes.Change:
    """Return the change of a record.

    Raises ``MalformedRecord``, or ``UnknownRule`` for one that only newer
    software can judge.
    """
    base, operator, change_id, whole, deltas = _unpack(CHANGE_MAGIC, data, 5)
    return _changes.Change(
        _offset(base),
        _text(operator),
        _text(change_id),
        tuple(_decode_delta(item) for item in _array(deltas)),
        None if whole is None else _decode_whole(whole),
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as a record of the snapshots stream."""
    body = [
        snapshot.revision,
        snapshot.digest,
        snapshot.operator,
        snapshot.change_id,
        _encode_whole(snapshot.declared),
    ]
    reach = snapshot.next_offset.to_bytes(REACH_BYTES, 'big')
    return _pack(SNAPSHOT_MAGIC, body, reach)


def reach_of(data: bytes) -> int:
    """Return the ``next_offset`` of a snapshot without unpacking it.

    Raises as ``decode_change``.
    """
    _check_header(SNAPSHOT_MAGIC, data)
    return int.from_bytes(data[HEADER_BYTES:SNAPSHOT_HEADER_BYTES], 'big')


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot of a record; raises as ``decode_change``."""
    next_offset = reach_of(data)
    revision, digest, operator, change_id, whole = _unpack(
        SNAPSHOT_MAGIC, data, 5, SNAPSHOT_HEADER_BYTES
    )
    if len(_typed(digest, bytes)) != DIGEST_BYTES:
        raise MalformedRecord('the digest is not whole')
    return Snapshot(
        next_offset,
        _offset(revision),
        digest,
        _text(operator),
        _text(change_id),
        _decode_whole(whole),
    )


def rule_of(data: bytes) -> int:
    """Return the rule by which a well-formed record asks to be judged."""
    return int.from_bytes(data[len(CHANGE_MAGIC) : HEADER_BYTES], 'big')


def _pack(magic: bytes, body: list, extra: bytes = b'') -> bytes:
    packed = zlib.compress(cbor2.dumps(body), COMPRESSION_LEVEL)
    return magic + RULE.to_bytes(RULE_BYTES, 'big') + extra + packed


def _unpack(
    magic: bytes, data: bytes, count: int, start: int = HEADER_BYTES
) -> list:
    _check_header(magic, data)
    return _array(_load(_decompress(data[start:])), count)


def _check_header(magic: bytes, data: bytes) -> None:
    if len(data) < HEADER_BYTES or not data.startswith(magic):
        raise MalformedRecord('no record of this kind')
    rule = rule_of(data)
    if rule > RULE:
        raise UnknownRule(rule)
    if rule != RULE:
        raise MalformedRecord(f'there is no rule {rule}')


def _decompress(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, LARGEST_BODY_BYTES)
    except zlib.error as error:
        raise MalformedRecord('the body does not unpack') from error
    if not unpacker.eof or unpacker.unused_data:
        raise MalformedRecord('the body is too long or cut short')
    return body


def _load(body: bytes) -> object:
    source = io.BytesIO(body)
    try:
        value = cbor2.load(source, allow_indefinite=False)
    # cbor2 raises its own error for most faults, and those of Python's own
    # types for some; all mean the same here.
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as error:
        raise MalformedRecord('the body is not CBOR') from error
    if source.read(1):
        raise MalformedRecord('the body goes on after its end')
    return value


def _encode_whole(declared: manifest.Manifest) -> list:
    return [
        [_encode_entity(entity) for entity in sorted(section, key=_name)]
        for section in (
            declared.services,
            declared.adapters,
            declared.callers,
        )
    ]


def _name(entity: manifest.Entity) -> str:
    return entity.name


def _decode_whole(value: object) -> manifest.Manifest:
    kinds = (manifest.Service, manifest.Adapter, manifest.Caller)
    sections = []
    for kind, items in zip(kinds, _array(value, len(kinds)), strict=True):
        section = tuple(_decode_entity(item) for item in _array(items))
        if not all(type(entity) is kind for entity in section):
            raise MalformedRecord('a section holds another kind')
        sections.append(section)
    return manifest.Manifest(*sections)


def _encode_delta(delta: _changes.Delta) -> list:
    """Return a removal as [-kind, name], anything else as the entity."""
    if isinstance(delta, _changes.Remove):
        return [-delta.kind, delta.name]
    return _encode_entity(delta.entity)


def _decode_delta(value: object) -> _changes.Delta:
    items = _array(value)
    if len(items) == 2 and type(items[0]) is int and items[0] < 0:
        try:
            kind = _changes.EntityKind(-items[0])
        except ValueError as error:
            raise MalformedRecord('no kind of entity') from error
        return _changes.Remove(kind, _text(items[1]))
    return _changes.Put(_decode_entity(items))


def _encode_entity(entity: manifest.Entity) -> list:
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


def _decode_entity(value: object) -> manifest.Entity:
    kind, *fields = _array(value) or [None]
    if kind == _changes.EntityKind.ADAPTER and len(fields) == 4:
        return _decode_adapter(*fields)
    if kind == _changes.EntityKind.SERVICE and len(fields) == 8:
        return _decode_service(*fields)
    if kind == _changes.EntityKind.CALLER and len(fields) == 4:
        return _decode_caller(*fields)
    raise MalformedRecord('no kind of entity')


def _decode_adapter(name, service, priority, versions) -> manifest.Adapter:
    pairs = tuple(tuple(_array(item, 2)) for item in _array(versions))
    for version, servable in pairs:
        _text(version)
        _typed(servable, bool)
    return manifest.Adapter(
        _text(name),
        sys.intern(_text(service)),
        _typed(priority, int),
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
        service_kind = manifest.ServiceKind(_text(kind))
    except ValueError as error:
        raise MalformedRecord('no kind of service') from error
    return manifest.Service(
        _text(name),
        service_kind,
        _text(base_model),
        _typed(checks_fencing, bool),
        _typed(stall, float),
        _typed(efficiency, float),
        _decode_limits(in_flight, rate),
    )


def _decode_caller(name, weight, in_flight, rate) -> manifest.Caller:
    limits = _decode_limits(in_flight, rate)
    return manifest.Caller(_text(name), _typed(weight, float), limits)


def _decode_limits(in_flight, rate) -> manifest.Limits:
    if in_flight is not None:
        _typed(in_flight, int)
    if rate is not None:
        _typed(rate, float)
    return manifest.Limits(in_flight, rate)


def _array(value: object, count: int | None = None) -> list:
    items = _typed(value, list)
    if count is not None and len(items) != count:
        raise MalformedRecord('an array of another length')
    return items


def _offset(value: object) -> int:
    if not 0 <= _typed(value, int) <= LARGEST_OFFSET:
        raise MalformedRecord('an offset out of range')
    return value


def _text(value: object) -> str:
    if len(_typed(value, str)) > LONGEST_TEXT:
        raise MalformedRecord('a text is too long')
    return value


def _typed(value, wanted: type):
    # Exactly this type: True would pass for 1, and an int for a float.
    if type(value) is not wanted:
        raise MalformedRecord(f'a {wanted.__name__} is expected')
    return value
