"""Records of the streams ``configuration`` and ``snapshots``.

A record consists of magic bytes, the number of its acceptance rule and a
body of compressed CBOR: a head, then one item for each entity or delta, all
of them arrays and scalars. The layout of magic bytes and rule number never
changes, so every software version can tell a record of an unsupported rule
from malformed data. Items are decoded one by one: decoding all at once takes
several megabytes, which the process does not return to the system.
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
# The header of a snapshot holds its next offset, so that a snapshot that is
# not needed is never decompressed.
NEXT_OFFSET_BYTES = 8
SNAPSHOT_HEADER_BYTES = HEADER_BYTES + NEXT_OFFSET_BYTES
# A body that decompresses to more is malformed, as it could exhaust the
# memory of every process. 15,000 adapters take about 1 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_OFFSET = 2**62
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 32
CBOR_LOAD_ERRORS = (cbor2.CBORError, ValueError, TypeError, RecursionError)

Items = collections.abc.Iterator[object]


class UnknownRule(ValueError):
    """The record needs an acceptance rule that this software lacks."""

    def __init__(self, rule: int):
        super().__init__(f'acceptance rule {rule} needs newer software')
        self.rule = rule


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state that results from the records before ``next_offset``.

    ``operator`` and ``change_id`` are those of the last accepted change.
    """

    next_offset: int
    revision: int
    digest: bytes
    operator: str
    change_id: str
    declared: manifest.Manifest


def encode_change(change: _changes.Change) -> bytes:
    """Encode a change as a record of the configuration stream."""
    if change.whole is None:
        count = len(change.deltas)
        items = map(_entity_codec.encode_delta, change.deltas)
    else:
        count = _count_entities(change.whole)
        items = _encode_entities(change.whole)
    head = [
        change.base_revision,
        change.operator,
        change.change_id,
        change.whole is not None,
    ]
    return _encode_record(CHANGE_MAGIC, head, count, items)


def decode_change(data: bytes) -> _changes.Change:
    """Decode a record of the configuration stream.

    Raises ``MalformedRecord``, or ``UnknownRule`` if the record needs newer
    software.
    """
    head, items = _decode_record(CHANGE_MAGIC, data, 4)
    base, operator, change_id, is_whole = head
    deltas: tuple[_changes.Delta, ...] = ()
    whole = None
    if _entity_codec.expect_type(is_whole, bool):
        whole = _decode_manifest(items)
    else:
        deltas = tuple(_entity_codec.decode_delta(item) for item in items)
    return _changes.Change(
        _expect_offset(base),
        _entity_codec.expect_text(operator),
        _entity_codec.expect_text(change_id),
        deltas,
        whole,
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as a record of the snapshots stream."""
    head = [
        snapshot.revision,
        snapshot.digest,
        snapshot.operator,
        snapshot.change_id,
    ]
    next_offset_bytes = snapshot.next_offset.to_bytes(NEXT_OFFSET_BYTES, 'big')
    return _encode_record(
        SNAPSHOT_MAGIC,
        head,
        _count_entities(snapshot.declared),
        _encode_entities(snapshot.declared),
        next_offset_bytes,
    )


def read_next_offset(data: bytes) -> int:
    """Return the ``next_offset`` of a snapshot without decompressing it.

    Raises the same errors as ``decode_change``.
    """
    _check_header(SNAPSHOT_MAGIC, data)
    return int.from_bytes(data[HEADER_BYTES:SNAPSHOT_HEADER_BYTES], 'big')


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raises the same errors as ``decode_change``."""
    next_offset = read_next_offset(data)
    head, items = _decode_record(
        SNAPSHOT_MAGIC, data, 4, SNAPSHOT_HEADER_BYTES
    )
    revision, digest, operator, change_id = head
    if len(_entity_codec.expect_type(digest, bytes)) != DIGEST_BYTES:
        raise _entity_codec.MalformedRecord(
            f'the digest must have {DIGEST_BYTES} bytes'
        )
    return Snapshot(
        next_offset,
        _expect_offset(revision),
        digest,
        _entity_codec.expect_text(operator),
        _entity_codec.expect_text(change_id),
        _decode_manifest(items),
    )


def read_rule(data: bytes) -> int:
    """Return the acceptance rule of a record with a valid header."""
    return int.from_bytes(data[len(CHANGE_MAGIC) : HEADER_BYTES], 'big')


def _encode_record(
    magic: bytes, head: list, count: int, items: Items, extra: bytes = b''
) -> bytes:
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    compressed = bytearray(magic + RULE.to_bytes(RULE_BYTES, 'big') + extra)
    compressed += compressor.compress(cbor2.dumps([count, *head]))
    for item in items:
        compressed += compressor.compress(cbor2.dumps(item))
    return bytes(compressed + compressor.flush())


def _decode_record(
    magic: bytes, data: bytes, fields: int, start: int = HEADER_BYTES
) -> tuple[list, Items]:
    """Return the head of a record and an iterator over its items."""
    _check_header(magic, data)
    items = _read_items(_decompress(data[start:]))
    count, *head = _entity_codec.expect_array(next(items), fields + 1)
    return head, _yield_exactly(items, _entity_codec.expect_integer(count))


def _yield_exactly(items: Items, count: int) -> Items:
    """Yield the items; raise ``MalformedRecord`` on another count."""
    found = 0
    for item in items:
        yield item
        found += 1
    if found != count:
        raise _entity_codec.MalformedRecord(
            f'found {found} items, expected {count}'
        )


def _check_header(magic: bytes, data: bytes) -> None:
    if len(data) < HEADER_BYTES or not data.startswith(magic):
        raise _entity_codec.MalformedRecord(
            f'the record has no valid {magic!r} header'
        )
    rule = read_rule(data)
    if rule > RULE:
        raise UnknownRule(rule)
    if rule != RULE:
        raise _entity_codec.MalformedRecord(
            f'acceptance rule {rule} does not exist'
        )


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_BODY_BYTES)
    except zlib.error as error:
        raise _entity_codec.MalformedRecord(
            'the body can not be decompressed'
        ) from error
    if not decompressor.eof or decompressor.unused_data:
        raise _entity_codec.MalformedRecord(
            'the body is too long or truncated'
        )
    return body


def _read_items(body: bytes) -> Items:
    source = io.BytesIO(body)
    while True:
        try:
            item = cbor2.load(source, allow_indefinite=False)
        # cbor2 raises its own error for most faults, but built-in exceptions
        # for some.
        except CBOR_LOAD_ERRORS as error:
            raise _entity_codec.MalformedRecord(
                'the body is not valid CBOR'
            ) from error
        yield item
        if source.tell() == len(body):
            return


def _sections(declared: manifest.Manifest) -> tuple:
    return declared.services, declared.adapters, declared.callers


def _count_entities(declared: manifest.Manifest) -> int:
    return sum(map(len, _sections(declared)))


def _encode_entities(declared: manifest.Manifest) -> Items:
    for section in _sections(declared):
        yield from map(_entity_codec.encode_entity, sorted(section, key=_name))


def _name(entity: manifest.Entity) -> str:
    return entity.name


def _decode_manifest(items: Items) -> manifest.Manifest:
    sections: dict[_changes.EntityKind, list] = {
        kind: [] for kind in _changes.EntityKind
    }
    for item in items:
        entity = _entity_codec.decode_entity(item)
        sections[_changes.KINDS[type(entity)]].append(entity)
    return manifest.Manifest(*map(tuple, sections.values()))


def _expect_offset(value: object) -> int:
    if not 0 <= _entity_codec.expect_type(value, int) <= MAX_OFFSET:
        raise _entity_codec.MalformedRecord('an offset is out of range')
    return value
