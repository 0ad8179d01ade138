"""The command ``stand-in service``."""

import argparse

from berylhollow import settings
from berylhollow.standin import service_server
from berylhollow.ui import _standin

EXAMPLE = (
    'berylhollow stand-in service --settings examples/local/service.jsonc'
)

add_arguments = _standin.add_arguments


def run(arguments: argparse.Namespace) -> int:
    """Serve until the process is told to stop."""
    return _standin.run(
        arguments, settings.Role.SERVICE, service_server.make_application
    )
