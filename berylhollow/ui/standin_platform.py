"""The command ``stand-in platform``: serve a stand-in until stopped."""

import argparse

from berylhollow import settings
from berylhollow.standin import platform_server
from berylhollow.ui import _standin

EXAMPLE = (
    'berylhollow stand-in platform --settings examples/local/platform.jsonc'
)

add_arguments = _standin.add_arguments


def run(arguments: argparse.Namespace) -> int:
    """Serve until a signal stops the process."""
    return _standin.run(
        arguments, settings.Role.PLATFORM, platform_server.make_application
    )
