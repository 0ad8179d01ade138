"""Read a settings file: JSON with comments."""

import pathlib
import typing

import json5

from berylhollow.settings import _check
from berylhollow.settings import _roles


def load(path: str | pathlib.Path, role: _roles.Role | str) -> typing.Any:
    """Return the role's settings from the file at ``path``.

    Raises ``SettingsError`` if the file can't be read, isn't JSON with
    comments, or has any fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise _read_error(path, error) from error
    return _check.parse(_parse_text(path, text), role)


def _parse_text(path: str | pathlib.Path, text: str) -> object:
    try:
        # A dict would silently drop a repeated key. Members keeps it, so
        # that validation can report it.
        return json5.loads(text, object_pairs_hook=_check.Members)
    except (ValueError, RecursionError) as error:
        raise _read_error(path, error) from error


def _read_error(path, error: Exception) -> _check.SettingsError:
    return _check.SettingsError([_check.Fault(str(path), str(error))])
