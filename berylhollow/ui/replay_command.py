"""The command ``replay``: run a trace on a virtual clock, or live."""

import argparse
import dataclasses
import json
import pathlib

from berylhollow import policy
from berylhollow import replay
from berylhollow import settings
from berylhollow.ui import _live_replay
from berylhollow.util import exits

EXAMPLE = (
    'berylhollow replay --settings examples/local/replay.jsonc '
    '--trace examples/local/trace.jsonl.gz --format json'
)
FORMATS = ('text', 'json')


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--settings',
        metavar='FILE',
        help='the deployment to replay in, JSON with comments',
    )
    parser.add_argument(
        '--trace',
        metavar='FILE',
        required=True,
        help='the trace, one JSON object a line; .gz is decompressed',
    )
    parser.add_argument(
        '--policy',
        choices=list(policy.POLICIES),
        help='instead of the policy that the settings name',
    )
    parser.add_argument(
        '--seed', type=int, default=0, help='randomness of the run (0)'
    )
    parser.add_argument('--format', choices=FORMATS, default='text')
    _live_replay.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Replay the trace and print the results of each service."""
    if arguments.live:
        return _live_replay.run(arguments)
    if arguments.settings is None:
        raise exits.UserError(
            'replay needs --settings, or --live', exits.ExitCode.INVALID
        )
    path = pathlib.Path(arguments.settings)
    declared = settings.load(path, settings.Role.REPLAY)
    items = replay.read_trace(arguments.trace)
    policy_name = arguments.policy or declared.policy
    if policy_name not in policy.POLICIES:
        raise exits.UserError(
            f'policy: {policy_name!r} does not exist, only '
            + ', '.join(policy.POLICIES),
            exits.ExitCode.INVALID,
        )
    deployment_manifest = replay.load_manifest(path, declared)
    view = replay.configure(deployment_manifest, declared, items)
    results = replay.Replay(
        declared, view, items, policy_name, arguments.seed
    ).run()
    rows = [dataclasses.asdict(result) for result in results]
    if arguments.format == 'json':
        print(json.dumps(rows, indent=2))
    else:
        _print_text(rows)
    return exits.ExitCode.OK


def _print_text(rows: list[dict]) -> None:
    for row in rows:
        print(f'{row["service"]} under {row["policy"]}')
        for name, value in row.items():
            if name not in ('service', 'policy'):
                print(f'    {name} = {value}')
