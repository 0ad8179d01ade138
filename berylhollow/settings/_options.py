"""Functions that declare an option as a dataclass field with its check."""

import dataclasses
import enum
import ipaddress
import typing
import urllib.parse

METADATA_KEY = 'option'
REQUIRED = dataclasses.MISSING


@dataclasses.dataclass(frozen=True)
class Option:
    """Type, meaning and check of an option, without its name and default.

    ``check`` returns the value to store, or raises ``ValueError`` with a
    message such as ``must be an integer``, printed after the option's path.
    """

    type_name: str
    meaning: str
    check: typing.Callable[[object], object]
    unit: str = ''
    range: str = ''
    secret: bool = False


def _option_field(option: Option, default: object) -> typing.Any:
    return dataclasses.field(default=default, metadata={METADATA_KEY: option})


def integer(
    meaning: str,
    *,
    default: typing.Any = REQUIRED,
    low: int,
    high: int,
    unit: str = '',
) -> typing.Any:
    """Declare an integer option from ``low`` to ``high``."""

    def check(value: object) -> int:
        # bool is a subclass of int, so ``true`` would be accepted as 1.
        if not isinstance(value, int) or isinstance(value, bool):
            raise ValueError(f'must be an integer, not {json_kind(value)}')
        return typing.cast(int, _require_in_range(value, low, high))

    bounds = f'{low} to {high}'
    return _option_field(
        Option('integer', meaning, check, unit, bounds), default
    )


def number(
    meaning: str,
    *,
    default: typing.Any = REQUIRED,
    low: float,
    high: float,
    unit: str = '',
) -> typing.Any:
    """Declare a number from ``low`` to ``high``; NaN and infinity fail."""

    def check(value: object) -> float:
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise ValueError(f'must be a number, not {json_kind(value)}')
        return float(_require_in_range(value, low, high))

    bounds = f'{low} to {high}'
    return _option_field(
        Option('number', meaning, check, unit, bounds), default
    )


def _require_in_range(value: float, low: float, high: float) -> float:
    # Rejects NaN as well, since every comparison with NaN is false.
    if not low <= value <= high:
        raise ValueError(f'must be from {low} to {high}, not {value}')
    return value


def flag(meaning: str, *, default: typing.Any = REQUIRED) -> typing.Any:
    """Declare a boolean option."""

    def check(value: object) -> bool:
        if not isinstance(value, bool):
            raise ValueError(f'must be true or false, not {json_kind(value)}')
        return value

    return _option_field(Option('boolean', meaning, check), default)


def text(
    meaning: str,
    *,
    default: typing.Any = REQUIRED,
    min_length: int = 1,
    max_length: int = 128,
    secret: bool = False,
) -> typing.Any:
    """Declare a string of ``min_length`` to ``max_length`` characters."""

    def check(value: object) -> str:
        value = _require_string(value)
        if not min_length <= len(value) <= max_length:
            raise ValueError(
                f'must have {min_length} to {max_length} characters, '
                f'not {len(value)}'
            )
        return value

    bounds = f'{min_length} to {max_length} characters'
    option = Option('string', meaning, check, range=bounds, secret=secret)
    option_field = _option_field(option, default)
    # Keeps the secret out of logs that print the settings object.
    option_field.repr = not secret
    return option_field


def choice(
    meaning: str,
    values: type[enum.StrEnum],
    *,
    default: typing.Any = REQUIRED,
) -> typing.Any:
    """Declare an option whose value is a member of a string enum."""
    names = ', '.join(values)

    def check(value: object) -> enum.StrEnum:
        value = _require_string(value)
        if value not in set(values):
            raise ValueError(f'must be one of {names}, not {value!r}')
        return values(value)

    return _option_field(
        Option('string', meaning, check, range=names), default
    )


def address(meaning: str, *, default: typing.Any = REQUIRED) -> typing.Any:
    """Declare an IP address option; host names are rejected."""

    def check(value: object) -> str:
        return _parse_ip_literal(_require_string(value))

    option = Option('string', meaning, check, range='IP literal')
    return _option_field(option, default)


def http_url(meaning: str, *, default: typing.Any = REQUIRED) -> typing.Any:
    """Declare a URL ``http://IP:PORT``; paths and host names are rejected."""

    def check(value: object) -> str:
        return parse_http_url(_require_string(value))

    option = Option('string', meaning, check, range='http://IP:PORT')
    return _option_field(option, default)


def parse_http_url(value: str) -> str:
    """Return a valid ``http://IP:PORT`` URL, or raise ``ValueError``."""
    try:
        parts = urllib.parse.urlsplit(value)
        port = parts.port
    except ValueError as error:
        raise ValueError(f'must be http://IP:PORT: {error}') from error
    extras = (parts.query, parts.fragment, parts.username)
    if parts.scheme != 'http' or any(extras) or parts.path not in ('', '/'):
        raise ValueError(f'must be http://IP:PORT, not {value!r}')
    if not port:
        raise ValueError(f'must name a port, not {value!r}')
    _parse_ip_literal(parts.hostname or '')
    return value.rstrip('/')


def _parse_ip_literal(value: str) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError(
            f'must be an IP literal, not the host name {value!r}'
        ) from None


def _require_string(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f'must be a string, not {json_kind(value)}')
    return value


JSON_KINDS = (
    (bool, 'a boolean'),
    (int, 'an integer'),
    (float, 'a number'),
    (str, 'a string'),
    (dict, 'an object'),
    (list, 'an array'),
)


def json_kind(value: object) -> str:
    """Return the JSON type of a value, worded for error messages."""
    for python_type, name in JSON_KINDS:
        if isinstance(value, python_type):
            return name
    return 'null'
