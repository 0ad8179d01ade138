"""The command ``gateway``: serve callers until told to stop."""

import argparse

from berylhollow import logs
from berylhollow import settings

EXAMPLE = 'berylhollow gateway --settings examples/local/gateway.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--settings',
        metavar='FILE',
        required=True,
        help='settings of the gateway, JSON with comments',
    )


def run(arguments: argparse.Namespace) -> int:
    """Serve; a taken port exits with code 6."""
    checked = settings.load(arguments.settings, settings.Role.GATEWAY)
    logs.configure(checked.log.level, settings.Role.GATEWAY, checked.instance)
    # Imported only now: faults in the settings are told at once.
    from berylhollow.gateway import service

    return service.serve(checked)
