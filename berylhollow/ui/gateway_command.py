"""The command ``gateway``: serve callers until a signal stops it."""

import argparse

from berylhollow import settings
from berylhollow.ui import _process_options

EXAMPLE = 'berylhollow gateway --settings examples/local/gateway.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    _process_options.add_arguments(parser, 'settings of the gateway')


def run(arguments: argparse.Namespace) -> int:
    """Run the gateway; exit with code 6 if its port is in use."""
    if arguments.settings is None:
        node = _process_options.load_node(arguments, settings.Role.GATEWAY)
        from berylhollow.hosted import gateway_process

        return gateway_process.serve(node)
    loaded = _process_options.load_settings(arguments, settings.Role.GATEWAY)
    # Imported late so that faults in the settings are reported quickly.
    from berylhollow.gateway import service

    return service.serve(loaded)
