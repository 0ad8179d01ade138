"""Records of the streams ``configuration`` and ``snapshots``.

A record is a magic, the number of the rule by which it asks to be judged,
and a body: compressed CBOR, a head and then one item for each entity or
delta, nothing but arrays and scalars. Magic and rule number never change, so
every software version can tell a record that it can't judge from one that is
no record at all. Items are read one by one: all at once would take several
megabytes for a moment, which the process then keeps.
"""

import collections.abc
import dataclasses
import io
import zlib

import cbor2

from berylhollow.configuration import _changes
from berylhollow.configuration import _entity_codec
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
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 32
LOAD_ERRORS = (cbor2.CBORError, ValueError, TypeError, RecursionError)

Items = collections.abc.Iterator[object]


class UnknownRule(ValueError):
    """The record asks for a rule that this software does not know."""

    def __init__(self, rule: int):
        super().__init__(f'only newer software can judge by rule {rule}')
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
    if change.whole is None:
        count = len(change.deltas)
        items = map(_entity_codec.encode_delta, change.deltas)
    else:
        count = _count(change.whole)
        items = _encode_whole(change.whole)
    head = [
        change.base_revision,
        change.operator,
        change.change_id,
        change.whole is not None,
    ]
    return _pack(CHANGE_MAGIC, head, count, items)


def decode_change(data: bytes) -> _changes.Change:
    """Return the change of a record.

    Raises ``MalformedRecord``, or ``UnknownRule`` for one that only newer
    software can judge.
    """
    head, items = _unpack(CHANGE_MAGIC, data, 4)
    base, operator, change_id, is_whole = head
    deltas: tuple[_changes.Delta, ...] = ()
    whole = None
    if _entity_codec.typed(is_whole, bool):
        whole = _decode_whole(items)
    else:
        deltas = tuple(_entity_codec.decode_delta(item) for item in items)
    return _changes.Change(
        _offset(base),
        _entity_codec.text(operator),
        _entity_codec.text(change_id),
        deltas,
        whole,
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as a record of the snapshots stream."""
    head = [
        snapshot.revision,
        snapshot.digest,
        snapshot.operator,
        snapshot.change_id,
    ]
    reach = snapshot.next_offset.to_bytes(REACH_BYTES, 'big')
    return _pack(
        SNAPSHOT_MAGIC,
        head,
        _count(snapshot.declared),
        _encode_whole(snapshot.declared),
        reach,
    )


def reach_of(data: bytes) -> int:
    """Return the ``next_offset`` of a snapshot without unpacking it.

    Raises as ``decode_change``.
    """
    _check_header(SNAPSHOT_MAGIC, data)
    return int.from_bytes(data[HEADER_BYTES:SNAPSHOT_HEADER_BYTES], 'big')


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot of a record; raises as ``decode_change``."""
    next_offset = reach_of(data)
    head, items = _unpack(SNAPSHOT_MAGIC, data, 4, SNAPSHOT_HEADER_BYTES)
    revision, digest, operator, change_id = head
    if len(_entity_codec.typed(digest, bytes)) != DIGEST_BYTES:
        raise _entity_codec.MalformedRecord('the digest is not whole')
    return Snapshot(
        next_offset,
        _offset(revision),
        digest,
        _entity_codec.text(operator),
        _entity_codec.text(change_id),
        _decode_whole(items),
    )


def rule_of(data: bytes) -> int:
    """Return the rule by which a well-formed record asks to be judged."""
    return int.from_bytes(data[len(CHANGE_MAGIC) : HEADER_BYTES], 'big')


def _pack(
    magic: bytes, head: list, count: int, items: Items, extra: bytes = b''
) -> bytes:
    packer = zlib.compressobj(COMPRESSION_LEVEL)
    packed = bytearray(magic + RULE.to_bytes(RULE_BYTES, 'big') + extra)
    packed += packer.compress(cbor2.dumps([count, *head]))
    for item in items:
        packed += packer.compress(cbor2.dumps(item))
    return bytes(packed + packer.flush())


def _unpack(
    magic: bytes, data: bytes, fields: int, start: int = HEADER_BYTES
) -> tuple[list, Items]:
    """Return the head of a record, and its items as they are read."""
    _check_header(magic, data)
    items = _read_items(_decompress(data[start:]))
    count, *head = _entity_codec.array(next(items), fields + 1)
    return head, _counted(items, _entity_codec.integer(count))


def _counted(items: Items, count: int) -> Items:
    """Yield the items; malformed if there are fewer or more."""
    found = 0
    for item in items:
        yield item
        found += 1
    if found != count:
        raise _entity_codec.MalformedRecord(
            f'{found} items in place of {count}'
        )


def _check_header(magic: bytes, data: bytes) -> None:
    if len(data) < HEADER_BYTES or not data.startswith(magic):
        raise _entity_codec.MalformedRecord('no record of this kind')
    rule = rule_of(data)
    if rule > RULE:
        raise UnknownRule(rule)
    if rule != RULE:
        raise _entity_codec.MalformedRecord(f'there is no rule {rule}')


def _decompress(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, LARGEST_BODY_BYTES)
    except zlib.error as error:
        raise _entity_codec.MalformedRecord(
            'the body does not unpack'
        ) from error
    if not unpacker.eof or unpacker.unused_data:
        raise _entity_codec.MalformedRecord(
            'the body is too long or cut short'
        )
    return body


def _read_items(body: bytes) -> Items:
    source = io.BytesIO(body)
    while True:
        try:
            item = cbor2.load(source, allow_indefinite=False)
        # cbor2 raises its own error for most faults, and those of Python's
        # own types for some; all mean the same here.
        except LOAD_ERRORS as error:
            raise _entity_codec.MalformedRecord(
                'the body is not CBOR'
            ) from error
        yield item
        if source.tell() == len(body):
            return


def _sections(declared: manifest.Manifest) -> tuple:
    return declared.services, declared.adapters, declared.callers


def _count(declared: manifest.Manifest) -> int:
    return sum(map(len, _sections(declared)))


def _encode_whole(declared: manifest.Manifest) -> Items:
    for section in _sections(declared):
        yield from map(_entity_codec.encode_entity, sorted(section, key=_name))


def _name(entity: manifest.Entity) -> str:
    return entity.name


def _decode_whole(items: Items) -> manifest.Manifest:
    sections: dict[_changes.EntityKind, list] = {
        kind: [] for kind in _changes.EntityKind
    }
    for item in items:
        entity = _entity_codec.decode_entity(item)
        sections[_changes.KINDS[type(entity)]].append(entity)
    return manifest.Manifest(*map(tuple, sections.values()))


def _offset(value: object) -> int:
    if not 0 <= _entity_codec.typed(value, int) <= LARGEST_OFFSET:
        raise _entity_codec.MalformedRecord('an offset out of range')
    return value
