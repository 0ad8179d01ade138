"""Options of the commands that run a gateway or a sidecar."""

import argparse
import sys
import typing

from berylhollow import logs
from berylhollow import platform
from berylhollow import settings
from berylhollow.util import exits


def add_arguments(parser: argparse.ArgumentParser, settings_help: str) -> None:
    """Add the options for the source of the process's settings."""
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument(
        '--settings',
        metavar='FILE',
        help=f'{settings_help}, JSON with comments',
    )
    group.add_argument(
        '--on-platform',
        action='store_true',
        help="take all from the users' platform, whose file the variable "
        f'{platform.NODE_FILE_VARIABLE} names',
    )


def load_settings(
    arguments: argparse.Namespace, role: settings.Role
) -> typing.Any:
    """Load and validate the settings and start logging to stderr."""
    loaded = settings.load(arguments.settings, role)
    logs.configure(loaded.log.level, role, loaded.instance)
    return loaded


def load_node(
    arguments: argparse.Namespace, role: settings.Role
) -> platform.Node:
    """Load the platform's node file and start logging to stdout.

    Raises ``UserError`` listing every fault of the file.
    """
    path = platform.node_file_path()
    if path is None:
        raise exits.UserError(
            f'{platform.NODE_FILE_VARIABLE} is not set',
            exits.ExitCode.INVALID,
        )
    serves_callers = role is settings.Role.GATEWAY
    loaded = platform.load(path, serves_callers)
    logs.configure(settings.LogLevel.INFO, role, loaded.instance, sys.stdout)
    return loaded
