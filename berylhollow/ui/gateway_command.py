"""The command ``gateway``: serve callers until told to stop."""

import argparse

from berylhollow import settings
from berylhollow.ui import _process_options

EXAMPLE = 'berylhollow gateway --settings examples/local/gateway.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    _process_options.add(parser, 'settings of the gateway')


def run(arguments: argparse.Namespace) -> int:
    """Serve; a taken port exits with code 6."""
    if arguments.settings is None:
        node = _process_options.node(arguments, settings.Role.GATEWAY)
        from berylhollow.hosted import gateway_process

        return gateway_process.serve(node)
    checked = _process_options.settings(arguments, settings.Role.GATEWAY)
    # Imported only now: faults in the settings are told at once.
    from berylhollow.gateway import service

    return service.serve(checked)
