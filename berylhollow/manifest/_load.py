"""Parse a manifest file, JSON with comments, reporting all faults at once."""

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
# JSON names of the Python types. bool comes first, as a subclass of int.
JSON_TYPE_NAMES = (
    (bool, 'a boolean'),
    (int, 'an integer'),
    (float, 'a number'),
    (str, 'a string'),
    (list, 'an array'),
)


class Members(list[tuple[str, object]]):
    """Keys and values of a JSON object in order, with repeated keys."""


class WrongTypeError(ValueError):
    """A value has the wrong type; the message is shown after its path."""


def schema_text() -> str:
    """Return the JSON Schema of a manifest."""
    package = importlib.resources.files('berylhollow.manifest')
    return (package / 'schema.json').read_text(encoding='utf-8')


def load(path: str | pathlib.Path) -> _types.Manifest:
    """Load a manifest file; raises ``ManifestError`` with all faults."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = _types.Fault(str(path), str(error))
        raise _types.ManifestError([fault]) from error
    return parse(text)


def parse(text: str) -> _types.Manifest:
    """Parse a manifest; raises ``ManifestError`` with all faults.

    Comments are replaced by blanks and the rest is parsed by the standard
    library: unlike the JSON 5 libraries it is fast enough for tens of
    thousands of adapters, reports the line of a fault, and does not drop
    repeated keys.
    """
    faults: list[_types.Fault] = []
    try:
        value = json.loads(
            STRING_OR_COMMENT.sub(_replace_comment_by_blanks, text),
            object_pairs_hook=Members,
        )
    except json.JSONDecodeError as error:
        location = f'line {error.lineno}, column {error.colno}'
        fault = _types.Fault(location, error.msg)
        raise _types.ManifestError([fault]) from error
    except (RecursionError, ValueError) as error:
        # Too deeply nested, or a number with thousands of digits.
        fault = _types.Fault(TOP_LEVEL, str(error))
        raise _types.ManifestError([fault]) from error
    manifest = _build_dataclass(_types.Manifest, value, '', faults)
    if manifest is not None:
        faults += _check.check(manifest)
    if faults:
        raise _types.ManifestError(faults)
    return manifest


def _replace_comment_by_blanks(match: re.Match) -> str:
    token = match.group()
    if token.startswith('"'):
        return token
    # Keeps the line and column numbers of the text after the comment.
    return NOT_NEWLINE.sub(' ', token)


def _build_dataclass(
    data_type, value: object, path: str, faults: list
) -> typing.Any:
    """Build an instance of a data class, or return None on faults."""
    if not isinstance(value, Members):
        text = f'must be an object, not {_json_type_name(value)}'
        faults.append(_types.Fault(path or TOP_LEVEL, text))
        return None
    fault_count_before = len(faults)
    fields = {field.name: field for field in dataclasses.fields(data_type)}
    hints = _type_hints(data_type)
    _check_keys(value, fields, path, faults)
    arguments = {}
    for name, item in value:
        if name in fields:
            location = _join_path(path, name)
            arguments[name] = _convert(hints[name], item, location, faults)
    # A manifest is built from its valid parts even if others have faults, so
    # that the checks can report their faults in the same run. ``parse`` never
    # returns a manifest with faults.
    if len(faults) > fault_count_before and data_type is not _types.Manifest:
        return None
    return data_type(**arguments)


# Cache of the type hints per data class: resolving them for each of tens of
# thousands of adapters would take most of the loading time.
_TYPE_HINTS: dict[type, dict[str, object]] = {}


def _type_hints(data_type) -> dict[str, object]:
    if data_type not in _TYPE_HINTS:
        _TYPE_HINTS[data_type] = typing.get_type_hints(data_type)
    return _TYPE_HINTS[data_type]


def _check_keys(members: Members, fields: dict, path: str, faults) -> None:
    counts = collections.Counter(name for name, _ in members)
    for name, count in counts.items():
        location = _join_path(path, name)
        if name not in fields:
            faults.append(_types.Fault(location, 'is not known'))
        if count > 1:
            faults.append(_types.Fault(location, f'is given {count} times'))
    for name, field in fields.items():
        if field.default is dataclasses.MISSING and name not in counts:
            faults.append(_types.Fault(_join_path(path, name), 'is required'))


def _convert(hint, value: object, path: str, faults: list) -> typing.Any:
    if typing.get_origin(hint) is tuple:
        return _convert_array(typing.get_args(hint)[0], value, path, faults)
    if isinstance(hint, types.UnionType):
        if value is None:
            return None
        hint = typing.get_args(hint)[0]
    if dataclasses.is_dataclass(hint):
        return _build_dataclass(hint, value, path, faults)
    try:
        return _convert_scalar(hint, value)
    except WrongTypeError as error:
        faults.append(_types.Fault(path, str(error)))
        return None


def _convert_array(hint, value: object, path: str, faults: list) -> tuple:
    # Members is also a list, so an empty object would pass as an array.
    if not isinstance(value, list) or isinstance(value, Members):
        text = f'must be an array, not {_json_type_name(value)}'
        faults.append(_types.Fault(path, text))
        return (None,)
    return tuple(
        _convert(hint, item, f'{path}[{index}]', faults)
        for index, item in enumerate(value)
    )


def _convert_scalar(hint, value: object) -> object:
    if isinstance(hint, enum.EnumType):
        if not isinstance(value, str) or value not in list(hint):
            names = ', '.join(hint)
            raise WrongTypeError(f'must be one of {names}, not {value!r}')
        return hint(value)
    if hint is float and type(value) is int:
        return _to_float(value)
    if type(value) is not hint:
        expected = dict(JSON_TYPE_NAMES)[hint]
        raise WrongTypeError(
            f'must be {expected}, not {_json_type_name(value)}'
        )
    return value


def _to_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        raise WrongTypeError('is too large') from None


def _json_type_name(value: object) -> str:
    if isinstance(value, Members):
        return 'an object'
    for python_type, name in JSON_TYPE_NAMES:
        if isinstance(value, python_type):
            return name
    return 'null'


def _join_path(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
