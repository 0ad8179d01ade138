"""The command ``stand-in service``: serve a stand-in until stopped."""

import argparse

from berylhollow import settings
from berylhollow.standin import service_server
from berylhollow.ui import _standin

EXAMPLE = (
    'berylhollow stand-in service --settings examples/local/service.jsonc'
)

add_arguments = _standin.add_arguments


def run(arguments: argparse.Namespace) -> int:
    """Serve until a signal stops the process."""
    return _standin.run(
        arguments, settings.Role.SERVICE, service_server.make_application
    )
