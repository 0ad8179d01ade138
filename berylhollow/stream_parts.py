"""Compresses the parts of streams that processes pass on to each other.

The records of a configuration with many routes repeat themselves: compressed
they are a tenth or less, and it is the slowest link of a deployment that
decides when a change is in force.
"""

import struct
import zlib

from berylhollow import messages

MIN_COMPRESSED_BYTES = 8 * 1024
"""Smaller parts are not compressed: they fit into a few packets."""

MAX_SIZE_BYTES = 8 * 1024 * 1024
"""Limit on the records of a part, so that a compressed one can't fill the
memory of its receiver."""

MAX_SENT_BYTES = 256 * 1024
"""What is larger when compressed is not passed on: a link of 5 Mbit/s would be
busy with it for half a second. Its readers get it from the log."""

LEVEL = 1
"""The fastest level of zlib."""

RECORD_LENGTH = struct.Struct('>I')


class CorruptPartError(Exception):
    """A part that can't be decompressed to what it says it holds."""


def size_bytes(part: messages.AnyStreamPart) -> int:
    """Return the size of the records as they are sent."""
    if isinstance(part, messages.CompressedStreamPart):
        return len(part.data)
    return sum(map(len, part.records))


def compress(part: messages.StreamPart) -> messages.AnyStreamPart:
    """Return a part in the form in which it is sent."""
    if size_bytes(part) < MIN_COMPRESSED_BYTES:
        return part
    data = b''.join(
        RECORD_LENGTH.pack(len(record)) + record for record in part.records
    )
    if len(data) > MAX_SIZE_BYTES:
        return part
    return messages.CompressedStreamPart(
        part.stream,
        part.from_offset,
        part.next_offset,
        zlib.compress(data, LEVEL),
        len(data),
        part.reader,
        part.era,
    )


def decompress(part: messages.AnyStreamPart) -> messages.StreamPart:
    """Return a part with its records; raises ``CorruptPartError``."""
    if isinstance(part, messages.StreamPart):
        return part
    return messages.StreamPart(
        part.stream,
        part.from_offset,
        part.next_offset,
        _split_records(decompress_record(part.data, part.size_bytes)),
        part.reader,
        part.era,
    )


def compress_record(record: bytes) -> bytes:
    """Return a single record compressed."""
    return zlib.compress(record, LEVEL)


def decompress_record(data: bytes, size_bytes: int) -> bytes:
    """Return a record of a stated size; raises ``CorruptPartError``."""
    if not 0 <= size_bytes <= MAX_SIZE_BYTES:
        raise CorruptPartError('the part is too large')
    decompressor = zlib.decompressobj()
    try:
        # One byte more than stated shows data that is longer.
        record = decompressor.decompress(data, size_bytes + 1)
    except zlib.error as error:
        raise CorruptPartError(str(error)) from error
    if len(record) != size_bytes or not decompressor.eof:
        raise CorruptPartError('the part is not of the size that it states')
    return record


def _split_records(data: bytes) -> tuple[bytes, ...]:
    records = []
    position = 0
    while position < len(data):
        if position + RECORD_LENGTH.size > len(data):
            raise CorruptPartError('the part ends within a record')
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + length > len(data):
            raise CorruptPartError('the part ends within a record')
        records.append(data[position : position + length])
        position += length
    return tuple(records)
