"""What the commands that read the log have in common."""

import argparse
import asyncio
import collections.abc
import typing

from berylhollow import clock as clocks
from berylhollow import platform
from berylhollow import publishing

DEFAULT_TIMEOUT_S = 30.0

Result = typing.TypeVar('Result')
Action = collections.abc.Callable[
    [publishing.Publisher], collections.abc.Awaitable[Result]
]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--platform',
        required=True,
        metavar='URL',
        help='the platform, whose log service holds the configuration',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar='SECONDS',
        help='give up after this time (%(default)s)',
    )


def add_base_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--base',
        type=int,
        metavar='REVISION',
        help='end with a conflict unless this revision is in force',
    )


def with_publisher(
    arguments: argparse.Namespace, action: Action[Result]
) -> Result:
    """Run an action with a publisher on the platform's log."""
    return asyncio.run(_with_publisher(arguments, action))


async def _with_publisher(
    arguments: argparse.Namespace, action: Action[Result]
) -> Result:
    log = platform.LogClient(arguments.platform)
    try:
        timeout_ms = int(arguments.timeout * clocks.MS_PER_SECOND)
        session = publishing.Session(log)
        return await action(publishing.Publisher(session, timeout_ms))
    finally:
        await log.close()
