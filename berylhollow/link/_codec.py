"""Encode messages as CBOR arrays, and decode and validate them.

A message is a frozen data class registered under a numeric tag. On the wire
it is the array ``[tag, field, field, ...]`` in the order of its fields.
Two versions of the program run side by side during a rollout, so a field may
only be added at the end, with a default:

* an unknown tag, or an unknown value of an enum, is skipped and counted
  (the peer is newer);
* a missing trailing field takes its default (the peer is older);
* an extra trailing field is ignored (the peer is newer);
* any other mismatch raises a :class:`CodecError`.
"""

import collections.abc
import dataclasses
import enum
import functools
import math
import operator
import types
import typing

import cbor2

from berylhollow import messages

MAXIMUM_DEPTH = 16
"""Nesting accepted from a peer; our own messages need less than half."""

_PLAIN_TYPES = (int, str, bytes, bool)
_LIST_START = b'\x9f'
_LIST_END = b'\xff'

LIST_OVERHEAD_BYTES = len(_LIST_START) + len(_LIST_END)
"""Bytes that ``encode_list`` adds to the encoded values."""


class CodecError(Exception):
    """Received data does not match the declared messages."""


class UnknownValueError(CodecError):
    """An enum value is not known to this version of the program."""


_LOAD_ERRORS = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    ArithmeticError,
    LookupError,
)

Converter = typing.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class FieldCodec:
    """Converters between the values of one type and their wire form.

    ``exact_type`` is the type that needs no conversion when decoded, or None.
    ``encode`` is None if the value is sent unchanged.
    """

    exact_type: type | None
    encode: Converter | None
    decode: Converter


class Codec:
    """Encode and decode the messages of one table of tags.

    ``tags`` maps each tag to its data class. The constructor raises
    TypeError for a field whose type can't be encoded. ``skipped`` counts
    the received messages with an unknown tag or enum value.
    """

    def __init__(self, tags: collections.abc.Mapping[int, type]):
        self.by_tag = {}
        self.by_class = {}
        self.skipped = 0
        self.last_message = None
        self.last_encoded = b''
        for tag, cls in tags.items():
            codec = _DataClassCodec(tag, cls)
            self.by_tag[tag] = codec
            self.by_class[cls] = codec

    def encode(self, message) -> bytes:
        """Return the CBOR array of one message.

        Raises TypeError for a class that is not in the table.
        """
        if message is self.last_message:
            # A message to all peers is sent as the same immutable object, so
            # it is encoded once. A report takes 28 us to encode, and is sent
            # to sixty gateways.
            return self.last_encoded
        codec = self.by_class.get(type(message))
        if codec is None:
            raise TypeError(f'{type(message).__name__} has no tag')
        data = cbor2.dumps(codec.to_array(message))
        self.last_message = message
        self.last_encoded = data
        return data

    def decode(self, data: bytes) -> list:
        """Return the known messages of a CBOR list of arrays.

        Raises CodecError if any part of ``data`` is malformed.
        """
        arrays = load_cbor(data)
        if type(arrays) is not list:
            raise CodecError('not a list of messages')
        known = []
        for array in arrays:
            message = self.from_array(array)
            if message is not None:
                known.append(message)
        return known

    def from_array(self, array):
        """Return the message of an array, or None if it is unknown."""
        if type(array) is not list or not array or type(array[0]) is not int:
            raise CodecError('not an array with a tag')
        codec = self.by_tag.get(array[0])
        if codec is None:
            self.skipped += 1
            return None
        # Most arrays need no conversion, in particular those of tokens.
        if [*map(type, array)] == codec.exact_types:
            return codec.cls(*array[1:])
        try:
            return codec.from_array(array)
        except UnknownValueError:
            self.skipped += 1
            return None


@functools.cache
def shared_codec() -> Codec:
    """Return the codec of all declared messages that the process shares."""
    return Codec(messages.TAGS)


def encode_list(parts: collections.abc.Iterable[bytes]) -> bytes:
    """Return a CBOR list of values that are already encoded."""
    return b''.join((_LIST_START, *parts, _LIST_END))


def load_cbor(data: bytes):
    """Return the CBOR value in ``data``, or raise CodecError."""
    try:
        return cbor2.loads(
            data, max_depth=MAXIMUM_DEPTH, allow_indefinite=True
        )
    except _LOAD_ERRORS as error:
        # The library decodes tagged values such as dates and fractions, and
        # these decoders raise other errors on hostile input.
        raise CodecError(f'not CBOR: {error}') from error


class _DataClassCodec:
    """Converter between a data class and its array, with or without a tag.

    The field types are inspected once, in the constructor.
    """

    def __init__(self, tag: int | None, cls: type):
        fields = dataclasses.fields(cls)
        hints = typing.get_type_hints(cls)
        self.cls = cls
        self.tag_prefix = () if tag is None else (tag,)
        self.names = [field.name for field in fields]
        self.field_codecs = [field_codec(hints[name]) for name in self.names]
        self.required = sum(1 for field in fields if not _has_default(field))
        self.get_values = _values_getter(self.names)
        self.is_plain = all(
            codec.encode is None for codec in self.field_codecs
        )
        self.exact_types = [int] * len(self.tag_prefix)
        self.exact_types += [codec.exact_type for codec in self.field_codecs]

    def to_array(self, message) -> tuple:
        values = self.get_values(message)
        if self.is_plain:
            return (*self.tag_prefix, *values)
        array = list(self.tag_prefix)
        for codec, value in zip(self.field_codecs, values, strict=True):
            array.append(codec.encode(value) if codec.encode else value)
        return tuple(array)

    def from_array(self, array: list):
        start = len(self.tag_prefix)
        count = min(len(array) - start, len(self.field_codecs))
        if count < self.required:
            raise CodecError(f'{self.cls.__name__}: too few fields')
        return self.cls(
            *(self._field(i, array[start + i]) for i in range(count))
        )

    def _field(self, index: int, value):
        try:
            return self.field_codecs[index].decode(value)
        except UnknownValueError:
            raise
        except CodecError as error:
            where = f'{self.cls.__name__}.{self.names[index]}'
            raise CodecError(f'{where}: {error}') from error

    def from_value(self, value):
        if type(value) is not list:
            raise CodecError(f'{self.cls.__name__} is not an array')
        return self.from_array(value)


def field_codec(hint) -> FieldCodec:
    """Return the codec of a field annotated with ``hint``.

    Raises TypeError if the type can't be encoded.
    """
    if hint in _PLAIN_TYPES:
        return FieldCodec(hint, None, _exact_type_decoder(hint))
    if hint is float:
        return FieldCodec(None, None, _to_float)
    if hint is type(None):
        return FieldCodec(type(None), None, _exact_type_decoder(type(None)))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_codec(hint)
    if dataclasses.is_dataclass(hint):
        nested = _DataClassCodec(None, hint)
        return FieldCodec(None, nested.to_array, nested.from_value)
    return _generic_codec(hint)


def _generic_codec(hint) -> FieldCodec:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return _optional_codec(hint, arguments)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _sequence_codec(tuple, arguments[0])
    if origin is tuple:
        return _tuple_codec([field_codec(item) for item in arguments])
    if origin is frozenset:
        return _sequence_codec(frozenset, arguments[0])
    if origin in (dict, collections.abc.Mapping):
        return _mapping_codec(*arguments)
    raise TypeError(f'a field of type {hint!r} can not be encoded')


def _exact_type_decoder(cls: type) -> Converter:
    def decode(value):
        if type(value) is not cls:
            raise CodecError(f'{type(value).__name__} is not {cls.__name__}')
        return value

    return decode


def _to_float(value) -> float:
    if type(value) not in (int, float):
        raise CodecError(f'{type(value).__name__} is not float')
    try:
        number = float(value)
    except OverflowError as error:
        raise CodecError('number too large for a float') from error
    if not math.isfinite(number):
        raise CodecError(f'{number} is not a finite number')
    return number


def _enum_codec(cls: type[enum.Enum]) -> FieldCodec:
    def decode(value):
        if type(value) not in (int, str):
            raise CodecError(f'{type(value).__name__} is no {cls.__name__}')
        try:
            return cls(value)
        except ValueError as error:
            raise UnknownValueError(f'no {cls.__name__} {value!r}') from error

    return FieldCodec(None, operator.attrgetter('value'), decode)


def _optional_codec(hint, arguments) -> FieldCodec:
    members = [item for item in arguments if item is not type(None)]
    if len(members) != 1 or len(arguments) != 2:
        raise TypeError(f'{hint!r}: only a union with None can be encoded')
    item_codec = field_codec(members[0])

    def encode(value):
        return None if value is None else item_codec.encode(value)

    def decode(value):
        return None if value is None else item_codec.decode(value)

    return FieldCodec(None, encode if item_codec.encode else None, decode)


def _sequence_codec(cls: type, hint) -> FieldCodec:
    item_codec = field_codec(hint)

    def encode(values):
        if item_codec.encode is None:
            return list(values)
        return [item_codec.encode(value) for value in values]

    def decode(values):
        if type(values) is not list:
            raise CodecError(f'{type(values).__name__} is not an array')
        return cls(item_codec.decode(value) for value in values)

    return FieldCodec(None, encode, decode)


def _tuple_codec(codecs: list[FieldCodec]) -> FieldCodec:
    def encode(values):
        return [
            codec.encode(value) if codec.encode else value
            for codec, value in zip(codecs, values, strict=True)
        ]

    def decode(values):
        if type(values) is not list or len(values) != len(codecs):
            raise CodecError(f'not an array of {len(codecs)}')
        pairs = zip(codecs, values, strict=True)
        return tuple(codec.decode(value) for codec, value in pairs)

    return FieldCodec(None, encode, decode)


def _mapping_codec(key_hint, value_hint) -> FieldCodec:
    key_codec = field_codec(key_hint)
    value_codec = field_codec(value_hint)
    if key_codec.exact_type not in (str, int):
        raise TypeError('only str and int can be keys')

    def encode(mapping):
        if value_codec.encode is None:
            return dict(mapping)
        return {key: value_codec.encode(mapping[key]) for key in mapping}

    def decode(mapping):
        if type(mapping) is not dict:
            raise CodecError(f'{type(mapping).__name__} is not a map')
        return {
            key_codec.decode(key): value_codec.decode(value)
            for key, value in mapping.items()
        }

    return FieldCodec(None, encode, decode)


def _has_default(field: dataclasses.Field) -> bool:
    return (
        field.default is not dataclasses.MISSING
        or field.default_factory is not dataclasses.MISSING
    )


def _values_getter(names: list[str]) -> Converter:
    if not names:
        return lambda message: ()
    if len(names) == 1:
        get = operator.attrgetter(names[0])
        return lambda message: (get(message),)
    return operator.attrgetter(*names)
