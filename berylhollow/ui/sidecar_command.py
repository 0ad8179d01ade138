"""The command ``sidecar``: serve beside an endpoint until told to stop."""

import argparse

from berylhollow import logs
from berylhollow import settings

EXAMPLE = 'berylhollow sidecar --settings examples/local/sidecar.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--settings',
        metavar='FILE',
        required=True,
        help='settings of the sidecar, JSON with comments',
    )


def run(arguments: argparse.Namespace) -> int:
    """Serve; a taken port exits with code 6 before anything is ordered."""
    checked = settings.load(arguments.settings, settings.Role.SIDECAR)
    logs.configure(checked.log.level, settings.Role.SIDECAR, checked.instance)
    # Imported only now: faults in the settings are told at once.
    from berylhollow.sidecar import service

    return service.serve(checked)
