"""The command ``plan``: what publishing a manifest would change."""

import argparse

from berylhollow import manifest
from berylhollow import publishing
from berylhollow.ui import _log_options
from berylhollow.util import exits

EXAMPLE = (
    'berylhollow plan examples/local/manifest.jsonc '
    '--platform http://127.0.0.1:8001'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', help='manifest to compare')
    _log_options.add_arguments(parser)
    _log_options.add_base_argument(parser)


def run(arguments: argparse.Namespace) -> int:
    """Print a line per change, then their count and the base revision."""
    declared = manifest.load(arguments.file)

    async def compare(publisher: publishing.Publisher) -> publishing.Plan:
        return await publisher.plan(declared, arguments.base)

    plan = _log_options.run_with_publisher(arguments, compare)
    for line in publishing.describe_deltas(plan):
        print(line)
    print(f'{len(plan.deltas)} changes against revision {plan.base.revision}')
    return exits.ExitCode.OK
