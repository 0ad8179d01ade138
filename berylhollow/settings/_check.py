"""Validate settings against their declarations and report every fault."""

import collections
import collections.abc
import dataclasses
import typing

from berylhollow.settings import _options
from berylhollow.settings import _roles
from berylhollow.util import exits

ROOT_PATH = '(top level)'


@dataclasses.dataclass(frozen=True)
class Fault:
    """A problem with the option at a dotted path such as ``listen.port``."""

    path: str
    message: str

    def __str__(self) -> str:
        return f'{self.path}: {self.message}'


class SettingsError(exits.UserError):
    """Raised for invalid settings; ``faults`` lists every problem found."""

    def __init__(self, faults: collections.abc.Sequence[Fault]):
        self.faults = tuple(faults)
        listed = [f'invalid settings: {fault}' for fault in self.faults]
        super().__init__('\n'.join(listed), exits.ExitCode.INVALID)


class Members(list[tuple[str, object]]):
    """Keys and values of a JSON object in order, repeated keys included."""


def parse(mapping: object, role: _roles.Role | str) -> typing.Any:
    """Return the role's settings from a mapping, with defaults filled in.

    ``mapping`` is a mapping or the ``Members`` of a parsed file. Raises
    ``SettingsError`` with every fault found, and ``ValueError`` for an
    unknown role.
    """
    settings_type = _roles.SETTINGS_TYPES[_roles.Role(role)]
    faults: list[Fault] = []
    values = _check_section(settings_type, mapping, '', faults)
    if faults:
        raise SettingsError(faults)
    return values


def _check_section(settings_type, section, path, faults):
    members = _members(section)
    if members is None:
        kind = _options.json_kind(section)
        faults.append(
            Fault(path or ROOT_PATH, f'must be an object, not {kind}')
        )
        return None
    _check_names(settings_type, members, path, faults)
    given = dict(members)
    values = {}
    for field in dataclasses.fields(settings_type):
        field_path = _join_path(path, field.name)
        if field.name in given:
            value = _check_value(field, given[field.name], field_path, faults)
            values[field.name] = value
        else:
            _check_missing(field, field_path, faults)
    # The settings object is built only if no fault has been found.
    return None if faults else settings_type(**values)


def _members(section: object) -> list[tuple[object, object]] | None:
    if isinstance(section, Members):
        return list(section)
    if isinstance(section, collections.abc.Mapping):
        return list(section.items())
    return None


def _check_names(settings_type, members, path, faults) -> None:
    known = {field.name for field in dataclasses.fields(settings_type)}
    for name, count in collections.Counter(
        name for name, _ in members
    ).items():
        if name not in known:
            faults.append(
                Fault(_join_path(path, name), 'is not a known option')
            )
        if count > 1:
            faults.append(
                Fault(_join_path(path, name), f'is given {count} times')
            )


def _check_value(field, value, path, faults):
    option = field.metadata.get(_options.METADATA_KEY)
    if option is None:
        return _check_section(field.type, value, path, faults)
    if isinstance(value, Members):
        value = dict(value)
    try:
        return option.check(value)
    except ValueError as error:
        faults.append(Fault(path, str(error)))
        return None


def _check_missing(field, path, faults) -> None:
    if field.default_factory is not dataclasses.MISSING:
        return
    if field.default is not dataclasses.MISSING:
        return
    if _options.METADATA_KEY in field.metadata:
        faults.append(Fault(path, 'is required'))
        return
    # Reports the required options of an absent section one by one.
    _check_section(field.type, {}, path, faults)


def _join_path(path: str, name: object) -> str:
    return f'{path}.{name}' if path else str(name)
