"""The command ``stand-in platform``."""

import argparse

from berylhollow import settings
from berylhollow.standin import platform_server
from berylhollow.ui import _standin

EXAMPLE = (
    'berylhollow stand-in platform --settings examples/local/platform.jsonc'
)

add_arguments = _standin.add_arguments


def run(arguments: argparse.Namespace) -> int:
    """Serve until the process is told to stop."""
    return _standin.run(
        arguments, settings.Role.PLATFORM, platform_server.make_application
    )
