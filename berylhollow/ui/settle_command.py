"""The command ``settle``: what became of a change with a lost answer."""

import argparse

from berylhollow import publishing
from berylhollow.ui import _log_options
from berylhollow.util import exits

EXAMPLE = (
    'berylhollow settle 6f1c2a0d1b0e4c5f8a7b6c5d4e3f2a1b '
    '--platform http://127.0.0.1:8001'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('change', help='id that publish named')
    _log_options.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Say what became of the change, with the exit codes of publish."""

    async def settle(publisher: publishing.Publisher) -> int:
        return await publisher.settle_earlier(arguments.change)

    revision = _log_options.with_publisher(arguments, settle)
    print(f'accepted: revision {revision}')
    return exits.ExitCode.OK
