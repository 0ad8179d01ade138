"""The command ``validate``: check a manifest file."""

import argparse

from berylhollow import manifest
from berylhollow.util import exits

EXAMPLE = 'berylhollow validate examples/local/manifest.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument('file', nargs='?', help='manifest to check')
    chosen.add_argument(
        '--schema',
        action='store_true',
        help='print the JSON Schema of a manifest instead',
    )


def run(arguments: argparse.Namespace) -> int:
    """Name every fault of the file and exit with code 2 if there is one."""
    if arguments.schema:
        print(manifest.schema_text(), end='')
        return exits.ExitCode.OK
    declared = manifest.load(arguments.file)
    print(
        f'valid: {len(declared.services)} services, '
        f'{len(declared.adapters)} adapters, {len(declared.callers)} callers'
    )
    return exits.ExitCode.OK
