"""Make the shipped traces, or others, from a seed.

python -m tools.make_traces traces --length-s 20 --seed 1
"""

import argparse
import pathlib

from berylhollow import replay
from tools import trace_shapes
from tools import trace_users

MS_PER_SECOND = 1000


def main():
    arguments = parse_arguments()
    folder = pathlib.Path(arguments.folder)
    folder.mkdir(parents=True, exist_ok=True)
    users, shapes = trace_users.USERS.values(), trace_shapes.SHAPES
    if arguments.local:
        users, shapes = (trace_users.LOCAL,), trace_shapes.LOCAL_SHAPES
    for user in users:
        for shape in shapes:
            items = trace_shapes.make(
                shape,
                user,
                int(arguments.length_s * MS_PER_SECOND),
                arguments.seed,
            )
            path = folder / f'{user.name}-{shape}.jsonl.gz'
            replay.write_trace(path, items)
            print(f'wrote {path}: {len(items)} items')


def parse_arguments():
    parser = argparse.ArgumentParser(prog='python -m tools.make_traces')
    parser.add_argument('folder')
    parser.add_argument('--length-s', type=float, default=20.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--local',
        action='store_true',
        help='make traces for the deployment of make run instead',
    )
    return parser.parse_args()


if __name__ == '__main__':
    main()
