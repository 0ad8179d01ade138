"""Read a manifest file: JSON with comments, every fault named at once."""

import collections
import collections.abc
import dataclasses
import enum
import importlib.resources
import json
import pathlib
import re
import types
import typing

from berylhollow.manifest import _check
from berylhollow.manifest import _types

STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/', re.DOTALL
)
TOP_LEVEL = '(top level)'
NOT_NEWLINE = re.compile(r'[^\n]')
# Kinds of value by their name in JSON; bool first, being a kind of int.
JSON_KINDS = (
    (bool, 'a boolean'),
    (int, 'an integer'),
    (float, 'a number'),
    (str, 'a string'),
    (list, 'an array'),
)


class Members(list[tuple[str, object]]):
    """Keys and values of an object as written, repeated keys and all."""


class Mistyped(ValueError):
    """A value is of the wrong kind; the message follows its path."""


def schema_text() -> str:
    """Return the JSON Schema of a manifest."""
    package = importlib.resources.files('berylhollow.manifest')
    return (package / 'schema.json').read_text(encoding='utf-8')


def load(path: str | pathlib.Path) -> _types.Manifest:
    """Return the manifest of a file; ``ManifestError`` with all faults."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = _types.Fault(str(path), str(error))
        raise _types.ManifestError([fault]) from error
    return parse(text)


def parse(text: str) -> _types.Manifest:
    """Return the manifest of a text; ``ManifestError`` with all faults.

    The standard library's parser is used with comments blanked out: unlike
    the JSON 5 libraries it is fast enough for tens of thousands of adapters,
    tells the line of a fault, and keeps a key that is written twice.
    """
    faults: list[_types.Fault] = []
    try:
        value = json.loads(
            STRING_OR_COMMENT.sub(_blank_comment, text),
            object_pairs_hook=Members,
        )
    except json.JSONDecodeError as error:
        place = f'line {error.lineno}, column {error.colno}'
        fault = _types.Fault(place, error.msg)
        raise _types.ManifestError([fault]) from error
    except (RecursionError, ValueError) as error:
        # Nested too deeply, or a number with thousands of digits.
        fault = _types.Fault(TOP_LEVEL, str(error))
        raise _types.ManifestError([fault]) from error
    manifest = _build(_types.Manifest, value, '', faults)
    if manifest is not None:
        faults += _check.check(manifest)
    if faults:
        raise _types.ManifestError(faults)
    return manifest


def _blank_comment(match: re.Match) -> str:
    found = match.group()
    if found.startswith('"'):
        return found
    # Lines and columns of what follows must stay as they are.
    return NOT_NEWLINE.sub(' ', found)


def _build(data_type, value: object, path: str, faults: list) -> typing.Any:
    """Return an object of a data class, or None if it has faults."""
    if not isinstance(value, Members):
        text = f'must be an object, not {_kind(value)}'
        faults.append(_types.Fault(path or TOP_LEVEL, text))
        return None
    before = len(faults)
    fields = {field.name: field for field in dataclasses.fields(data_type)}
    hints = _hints(data_type)
    _check_keys(value, fields, path, faults)
    given = {}
    for name, item in value:
        if name in fields:
            place = _join(path, name)
            given[name] = _convert(hints[name], item, place, faults)
    # A manifest is built of what is sound, so that its other faults are
    # named in the same run; one with faults never leaves this module.
    if len(faults) > before and data_type is not _types.Manifest:
        return None
    return data_type(**given)


# The hints of a data class never change; looking them up for each of tens
# of thousands of adapters would take most of the time of a load.
_HINTS: dict[type, dict[str, object]] = {}


def _hints(data_type) -> dict[str, object]:
    if data_type not in _HINTS:
        _HINTS[data_type] = typing.get_type_hints(data_type)
    return _HINTS[data_type]


def _check_keys(members: Members, fields: dict, path: str, faults) -> None:
    counts = collections.Counter(name for name, _ in members)
    for name, count in counts.items():
        place = _join(path, name)
        if name not in fields:
            faults.append(_types.Fault(place, 'is not known'))
        if count > 1:
            faults.append(_types.Fault(place, f'is given {count} times'))
    for name, field in fields.items():
        if field.default is dataclasses.MISSING and name not in counts:
            faults.append(_types.Fault(_join(path, name), 'is required'))


def _convert(hint, value: object, path: str, faults: list) -> typing.Any:
    if typing.get_origin(hint) is tuple:
        return _convert_array(typing.get_args(hint)[0], value, path, faults)
    if isinstance(hint, types.UnionType):
        if value is None:
            return None
        hint = typing.get_args(hint)[0]
    if dataclasses.is_dataclass(hint):
        return _build(hint, value, path, faults)
    try:
        return _scalar(hint, value)
    except Mistyped as error:
        faults.append(_types.Fault(path, str(error)))
        return None


def _convert_array(hint, value: object, path: str, faults: list) -> tuple:
    # Members is a list too, and an empty object would pass for an array.
    if not isinstance(value, list) or isinstance(value, Members):
        text = f'must be an array, not {_kind(value)}'
        faults.append(_types.Fault(path, text))
        return (None,)
    return tuple(
        _convert(hint, item, f'{path}[{index}]', faults)
        for index, item in enumerate(value)
    )


def _scalar(hint, value: object) -> object:
    if isinstance(hint, enum.EnumType):
        if not isinstance(value, str) or value not in list(hint):
            names = ', '.join(hint)
            raise Mistyped(f'must be one of {names}, not {value!r}')
        return hint(value)
    if hint is float and type(value) is int:
        return _to_float(value)
    if type(value) is not hint:
        wanted = dict(JSON_KINDS)[hint]
        raise Mistyped(f'must be {wanted}, not {_kind(value)}')
    return value


def _to_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        raise Mistyped('is too large') from None


def _kind(value: object) -> str:
    if isinstance(value, Members):
        return 'an object'
    for python_type, name in JSON_KINDS:
        if isinstance(value, python_type):
            return name
    return 'null'


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
