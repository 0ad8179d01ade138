"""The command ``publish``: bring a manifest into force."""

import argparse
import getpass

from berylhollow import manifest
from berylhollow import publishing
from berylhollow.ui import _log_options
from berylhollow.util import exits

EXAMPLE = (
    'berylhollow publish examples/local/manifest.jsonc '
    '--platform http://127.0.0.1:8001 --operator anna'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', help='manifest to bring into force')
    _log_options.add_arguments(parser)
    _log_options.add_base_argument(parser)
    parser.add_argument(
        '--operator',
        metavar='NAME',
        help='who publishes, shown to others (the name of the user)',
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the accepted revision; exit with code 3 on a conflict."""
    declared = manifest.load(arguments.file)
    operator = arguments.operator or _user_name()

    async def publish(publisher: publishing.Publisher) -> str:
        plan = await publisher.plan(declared, arguments.base)
        if not plan.deltas:
            return f'nothing to change at revision {plan.base.revision}'
        revision = await publisher.publish(plan, declared, operator)
        return (
            f'accepted: revision {revision}, {len(plan.deltas)} changes '
            f'against revision {plan.base.revision}'
        )

    print(_log_options.run_with_publisher(arguments, publish))
    return exits.ExitCode.OK


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # The user id has no account name, as in many containers.
        return 'unknown'
