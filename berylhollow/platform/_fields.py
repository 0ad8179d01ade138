"""Fields of the platform's JSON documents, checked for type and range.

Any writer can append records to the store's streams, so a record may be
almost valid: a number as a string, a boolean for a number, an array for a
name. Converting such values could yield an endpoint that does not exist or an
unexpected exception that stops the reader. Each function here returns a value
of the documented type or raises ``MalformedRecordError``.
"""

import ipaddress
import json
import typing

from berylhollow import routes
from berylhollow.util import texts

Value = typing.TypeVar('Value')

MAX_INTEGER = 2**53
"""JSON parsers may disagree about integers beyond this."""

MAX_NAME_LENGTH = 512
"""In characters; the platform's keys have at most 255 bytes."""

MAX_PORT = 65535


def parse_object(data: bytes) -> dict:
    """Parse the value of a record, which must be a JSON object."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise routes.MalformedRecordError(
            f'invalid JSON: {type(error).__name__}'
        ) from error
    if not isinstance(value, dict):
        raise routes.MalformedRecordError('the document is not an object')
    return value


def string(entry: dict, field: str, default: str | None = None) -> str:
    """Return a string; without a default it is required and not empty."""
    value = entry.get(field)
    if value is None and default is not None:
        return default
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        raise _type_error(field, 'a string', value)
    if not value and default is None:
        raise _type_error(field, 'a string', value)
    if not texts.is_encodable(value):
        raise _type_error(field, 'valid Unicode', value)
    return value


def integer(
    entry: dict, field: str, default: int | None = None, minimum: int = 0
) -> int:
    """Return an integer of at least ``minimum``."""
    value = entry.get(field)
    if value is None and default is not None:
        return default
    if type(value) is not int or not minimum <= value <= MAX_INTEGER:
        raise _type_error(field, 'an integer', value)
    return value


def number(entry: dict, field: str, default: float | None = None) -> float:
    """Return a finite number that is not negative."""
    value = entry.get(field)
    if value is None and default is not None:
        return default
    if type(value) not in (int, float) or not 0 <= value <= MAX_INTEGER:
        raise _type_error(field, 'a number', value)
    return float(value)


def milliseconds(entry: dict, field: str, default: int | None = None) -> int:
    """Return a duration in whole milliseconds."""
    if entry.get(field) is None and default is not None:
        return default
    return int(number(entry, field))


def boolean(entry: dict, field: str) -> bool:
    """Return a boolean, false if the field is missing."""
    return _optional(entry, field, bool, 'a boolean')


def array(entry: dict, field: str) -> list:
    """Return an array, empty if the field is missing."""
    return _optional(entry, field, list, 'an array')


def nested_object(entry: dict, field: str) -> dict:
    """Return a nested object, empty if the field is missing."""
    return _optional(entry, field, dict, 'an object')


def objects(entry: dict, field: str) -> list[dict]:
    """Return an array of objects, empty if the field is missing."""
    values = array(entry, field)
    if not all(isinstance(value, dict) for value in values):
        raise _type_error(field, 'an array of objects', values)
    return values


def strings(entry: dict, field: str) -> list[str]:
    """Return an array of strings, empty if the field is missing."""
    values = array(entry, field)
    if not all(isinstance(value, str) and value for value in values):
        raise _type_error(field, 'an array of strings', values)
    if not all(map(texts.is_encodable, values)):
        raise _type_error(field, 'an array of valid Unicode', values)
    return values


def address(entry: dict, field: str) -> str:
    """Return an IPv4 address with a port, as ``1.2.3.4:80``."""
    value = string(entry, field)
    host, _, port = value.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _type_error(
            field, 'an IPv4 address with a port', value
        ) from error
    if not (port.isascii() and port.isdecimal()):
        raise _type_error(field, 'an IPv4 address with a port', value)
    if not 1 <= int(port[:6]) <= MAX_PORT:
        raise _type_error(field, 'an IPv4 address with a port', value)
    return value


def _optional(
    entry: dict, field: str, kind: type[Value], expected: str
) -> Value:
    """Return a value of a type, or its empty value if the field is missing."""
    value = entry.get(field)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise _type_error(field, expected, value)
    return value


def _type_error(
    field: str, expected: str, value: object
) -> routes.MalformedRecordError:
    found = type(value).__name__
    return routes.MalformedRecordError(f'{field} is not {expected}: {found}')
