"""The command ``stand-in engine``: serve a stand-in until stopped."""

import argparse

from berylhollow import settings
from berylhollow.standin import engine_server
from berylhollow.ui import _standin

EXAMPLE = 'berylhollow stand-in engine --settings examples/local/engine.jsonc'

add_arguments = _standin.add_arguments


def run(arguments: argparse.Namespace) -> int:
    """Serve until a signal stops the process."""
    return _standin.run(
        arguments, settings.Role.ENGINE, engine_server.make_application
    )
