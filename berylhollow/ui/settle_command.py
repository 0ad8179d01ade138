"""The command ``settle``: the outcome of a change whose answer was lost."""

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
    """Print the outcome of the change; exit codes are those of publish."""

    async def settle(publisher: publishing.Publisher) -> int:
        return await publisher.settle_from_earlier_session(arguments.change)

    revision = _log_options.run_with_publisher(arguments, settle)
    print(f'accepted: revision {revision}')
    return exits.ExitCode.OK
