"""The command ``sidecar``: serve beside an endpoint until stopped."""

import argparse

from berylhollow import settings
from berylhollow.ui import _process_options

EXAMPLE = 'berylhollow sidecar --settings examples/local/sidecar.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    _process_options.add_arguments(parser, 'settings of the sidecar')


def run(arguments: argparse.Namespace) -> int:
    """Run the sidecar.

    A port in use exits with code 6 before the endpoint receives any command.
    """
    if arguments.settings is None:
        node = _process_options.load_node(arguments, settings.Role.SIDECAR)
        from berylhollow.hosted import loader_process

        return loader_process.serve(node)
    loaded = _process_options.load_settings(arguments, settings.Role.SIDECAR)
    # Imported late so that faults in the settings are reported quickly.
    from berylhollow.sidecar import service

    return service.serve(loaded)
