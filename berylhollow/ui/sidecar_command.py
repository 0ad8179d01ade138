"""The command ``sidecar``: serve beside an endpoint until told to stop."""

import argparse

from berylhollow import settings
from berylhollow.ui import _process_options

EXAMPLE = 'berylhollow sidecar --settings examples/local/sidecar.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    _process_options.add(parser, 'settings of the sidecar')


def run(arguments: argparse.Namespace) -> int:
    """Serve; a taken port exits with code 6 before anything is ordered."""
    if arguments.settings is None:
        node = _process_options.node(arguments, settings.Role.SIDECAR)
        from berylhollow.hosted import loader_process

        return loader_process.serve(node)
    checked = _process_options.settings(arguments, settings.Role.SIDECAR)
    # Imported only now: faults in the settings are told at once.
    from berylhollow.sidecar import service

    return service.serve(checked)
