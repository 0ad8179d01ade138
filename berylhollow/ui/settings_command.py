"""The command ``settings``: list every option or check a file."""

import argparse
import dataclasses
import json

from berylhollow import settings
from berylhollow.util import exits

EXAMPLE = 'berylhollow settings gateway --format json'
FORMATS = ('text', 'json', 'defaults')


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'role',
        nargs='?',
        choices=list(settings.Role),
        help='only the options of this role',
    )
    parser.add_argument(
        '--format',
        choices=FORMATS,
        default='text',
        help='text, json (one array), or defaults (the shipped file of all '
        'roles)',
    )
    parser.add_argument(
        '--check',
        metavar='FILE',
        help='check a settings file of the role instead; prints nothing '
        'when it is valid',
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the options, or check a file; faults exit with code 2."""
    if arguments.check:
        return _check(arguments.check, arguments.role)
    roles = [arguments.role] if arguments.role else list(settings.Role)
    if arguments.format == 'defaults':
        print(settings.defaults_text(), end='')
    elif arguments.format == 'json':
        _print_json(settings.describe(roles))
    else:
        _print_text(settings.describe(roles))
    return exits.ExitCode.OK


def _check(path: str, role: str | None) -> int:
    if role is None:
        raise exits.UserError(
            '--check needs the role whose settings the file holds',
            exits.ExitCode.INVALID,
        )
    settings.load(path, role)
    return exits.ExitCode.OK


def _print_json(rows) -> None:
    print(json.dumps([dataclasses.asdict(row) for row in rows], indent=2))


def _print_text(rows) -> None:
    for row in rows:
        default = 'required' if row.default is None else row.default
        value = f'{default} {row.unit}'.strip()
        print(f'{row.role}.{row.path} = {value}')
        print(f'    {row.meaning} ({row.range or row.type})')
