"""The command ``validate``: check a manifest file."""

import argparse

from berylhollow import manifest
from berylhollow.util import exits

EXAMPLE = 'berylhollow validate examples/local/manifest.jsonc'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument('file', nargs='?', help='manifest to check')
    group.add_argument(
        '--schema',
        action='store_true',
        help='print the JSON Schema of a manifest instead',
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the counts of a valid manifest, or the schema.

    An invalid manifest exits with code 2 and a line per fault.
    """
    if arguments.schema:
        print(manifest.schema_text(), end='')
        return exits.ExitCode.OK
    declared = manifest.load(arguments.file)
    print(
        f'valid: {len(declared.services)} services, '
        f'{len(declared.adapters)} adapters, {len(declared.callers)} callers'
    )
    return exits.ExitCode.OK
