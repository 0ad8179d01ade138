"""Kinds of option, each a dataclass field that carries its own check."""

import dataclasses
import enum
import ipaddress
import typing
import urllib.parse

METADATA_KEY = 'option'
REQUIRED = dataclasses.MISSING


@dataclasses.dataclass(frozen=True)
class Option:
    """What is known of one option beside its name and default.

    ``check`` returns the value to keep, or raises ``ValueError`` with what is
    wrong in words that follow the option's path.
    """

    type_name: str
    meaning: str
    check: typing.Callable[[object], object]
    unit: str = ''
    range: str = ''
    secret: bool = False


def _field(option: Option, default: object) -> typing.Any:
    return dataclasses.field(default=default, metadata={METADATA_KEY: option})


def integer(
    meaning: str,
    *,
    default: typing.Any = REQUIRED,
    low: int,
    high: int,
    unit: str = '',
) -> typing.Any:
    """A whole number from ``low`` to ``high``."""

    def check(value: object) -> int:
        # bool is a subclass of int: ``true`` would pass for 1.
        if not isinstance(value, int) or isinstance(value, bool):
            raise ValueError(f'must be an integer, not {kind_of(value)}')
        return typing.cast(int, _in_range(value, low, high))

    bounds = f'{low} to {high}'
    return _field(Option('integer', meaning, check, unit, bounds), default)


def number(
    meaning: str,
    *,
    default: typing.Any = REQUIRED,
    low: float,
    high: float,
    unit: str = '',
) -> typing.Any:
    """A number from ``low`` to ``high``; NaN and infinities are refused."""

    def check(value: object) -> float:
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise ValueError(f'must be a number, not {kind_of(value)}')
        return float(_in_range(value, low, high))

    bounds = f'{low} to {high}'
    return _field(Option('number', meaning, check, unit, bounds), default)


def _in_range(value: float, low: float, high: float) -> float:
    # Written so that NaN, which compares false with all, is refused too.
    if not low <= value <= high:
        raise ValueError(f'must be from {low} to {high}, not {value}')
    return value


def flag(meaning: str, *, default: typing.Any = REQUIRED) -> typing.Any:
    """True or false."""

    def check(value: object) -> bool:
        if not isinstance(value, bool):
            raise ValueError(f'must be true or false, not {kind_of(value)}')
        return value

    return _field(Option('boolean', meaning, check), default)


def text(
    meaning: str,
    *,
    default: typing.Any = REQUIRED,
    shortest: int = 1,
    longest: int = 128,
    secret: bool = False,
) -> typing.Any:
    """A text of ``shortest`` to ``longest`` characters."""

    def check(value: object) -> str:
        value = _string(value)
        if not shortest <= len(value) <= longest:
            raise ValueError(
                f'must have {shortest} to {longest} characters, '
                f'not {len(value)}'
            )
        return value

    bounds = f'{shortest} to {longest} characters'
    option = Option('string', meaning, check, range=bounds, secret=secret)
    option_field = _field(option, default)
    # A secret must not reach a log through the repr of its settings.
    option_field.repr = not secret
    return option_field


def choice(
    meaning: str,
    values: type[enum.StrEnum],
    *,
    default: typing.Any = REQUIRED,
) -> typing.Any:
    """One of the texts of an enum."""
    names = ', '.join(values)

    def check(value: object) -> enum.StrEnum:
        value = _string(value)
        if value not in set(values):
            raise ValueError(f'must be one of {names}, not {value!r}')
        return values(value)

    return _field(Option('string', meaning, check, range=names), default)


def address(meaning: str, *, default: typing.Any = REQUIRED) -> typing.Any:
    """An IP address as a literal; a host name is refused."""

    def check(value: object) -> str:
        return _ip_literal(_string(value))

    option = Option('string', meaning, check, range='IP literal')
    return _field(option, default)


def http_url(meaning: str, *, default: typing.Any = REQUIRED) -> typing.Any:
    """A URL ``http://IP:PORT`` without path; a host name is refused."""

    def check(value: object) -> str:
        return parse_http_url(_string(value))

    option = Option('string', meaning, check, range='http://IP:PORT')
    return _field(option, default)


def parse_http_url(value: str) -> str:
    """Return ``http://IP:PORT``; ``ValueError`` for anything else."""
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
    _ip_literal(parts.hostname or '')
    return value.rstrip('/')


def _ip_literal(value: str) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError(
            f'must be an IP literal, not the host name {value!r}'
        ) from None


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f'must be a string, not {kind_of(value)}')
    return value


JSON_KINDS = (
    (bool, 'a boolean'),
    (int, 'an integer'),
    (float, 'a number'),
    (str, 'a string'),
    (dict, 'an object'),
    (list, 'an array'),
)


def kind_of(value: object) -> str:
    """Return the JSON kind of a value, as messages name it."""
    for python_type, name in JSON_KINDS:
        if isinstance(value, python_type):
            return name
    return 'null'
