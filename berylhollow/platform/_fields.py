"""Fields of the platform's JSON documents, checked for type and range.

The store's streams take records from any writer. Guards against one that is
nearly right: a number as text, a truth for a number, a list for a name. Taken
over by conversion it would name an endpoint that does not exist, or stop the
reader with an error that nobody expects. Everything here either returns a
value of the type that it names or raises ``MalformedRecordError``.
"""

import ipaddress
import json
import typing

from berylhollow import routes

Kind = typing.TypeVar('Kind')

LARGEST = 2**53
"""Whole numbers beyond this are not the same in every reader of JSON."""

LONGEST_NAME = 512
"""Characters of a name; the platform's keys have 255 bytes at most."""

LAST_PORT = 65535


def document(data: bytes) -> dict:
    """Return the JSON object that a record holds."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise routes.MalformedRecordError(
            f'no JSON: {type(error).__name__}'
        ) from error
    if not isinstance(value, dict):
        raise routes.MalformedRecordError('the document is no object')
    return value


def text(entry: dict, field: str, default: str | None = None) -> str:
    """Return a name; one without a default must be there and not empty."""
    value = entry.get(field)
    if value is None and default is not None:
        return default
    if not isinstance(value, str) or len(value) > LONGEST_NAME:
        raise _wrong(field, 'a text', value)
    if not value and default is None:
        raise _wrong(field, 'a text', value)
    return value


def whole(
    entry: dict, field: str, default: int | None = None, least: int = 0
) -> int:
    """Return a whole number of at least ``least``."""
    value = entry.get(field)
    if value is None and default is not None:
        return default
    if type(value) is not int or not least <= value <= LARGEST:
        raise _wrong(field, 'a whole number', value)
    return value


def number(entry: dict, field: str, default: float | None = None) -> float:
    """Return a finite number that is not negative."""
    value = entry.get(field)
    if value is None and default is not None:
        return default
    if type(value) not in (int, float) or not 0 <= value <= LARGEST:
        raise _wrong(field, 'a number', value)
    return float(value)


def milliseconds(entry: dict, field: str, default: int | None = None) -> int:
    """Return a duration in whole milliseconds."""
    if entry.get(field) is None and default is not None:
        return default
    return int(number(entry, field))


def truth(entry: dict, field: str) -> bool:
    """Return a truth value, false if it is not there."""
    return _optional(entry, field, bool, 'a truth value')


def items(entry: dict, field: str) -> list:
    """Return a list, empty if it is not there."""
    return _optional(entry, field, list, 'a list')


def inner(entry: dict, field: str) -> dict:
    """Return an object, empty if it is not there."""
    return _optional(entry, field, dict, 'an object')


def objects(entry: dict, field: str) -> list[dict]:
    """Return a list of objects, empty if it is not there."""
    values = items(entry, field)
    if not all(isinstance(value, dict) for value in values):
        raise _wrong(field, 'a list of objects', values)
    return values


def texts(entry: dict, field: str) -> list[str]:
    """Return a list of names, empty if it is not there."""
    values = items(entry, field)
    if not all(isinstance(value, str) and value for value in values):
        raise _wrong(field, 'a list of texts', values)
    return values


def address(entry: dict, field: str) -> str:
    """Return an IP number and a port, as ``1.2.3.4:80``."""
    value = text(entry, field)
    host, _, port = value.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _wrong(field, 'an address', value) from error
    if not (port.isascii() and port.isdecimal()):
        raise _wrong(field, 'an address', value)
    if not 1 <= int(port[:6]) <= LAST_PORT:
        raise _wrong(field, 'an address', value)
    return value


def _optional(
    entry: dict, field: str, kind: type[Kind], expected: str
) -> Kind:
    """Return a value of one type, that type's empty one if it is not there."""
    value = entry.get(field)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise _wrong(field, expected, value)
    return value


def _wrong(
    field: str, expected: str, value: object
) -> routes.MalformedRecordError:
    found = type(value).__name__
    return routes.MalformedRecordError(f'{field} is not {expected}: {found}')
