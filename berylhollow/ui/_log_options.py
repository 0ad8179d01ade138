"""Arguments and clients shared by the commands that use the log."""

import argparse
import asyncio
import collections.abc
import typing

from berylhollow import clock as clocks
from berylhollow import log_service
from berylhollow import publishing

DEFAULT_TIMEOUT_S = 30.0

Result = typing.TypeVar('Result')
PublisherAction = collections.abc.Callable[
    [publishing.Publisher], collections.abc.Awaitable[Result]
]

LogClientAction = collections.abc.Callable[
    [log_service.LogClient], collections.abc.Awaitable[Result]
]


def add_platform_argument(
    parser: argparse.ArgumentParser, contents: str
) -> None:
    """Add ``--platform``; ``contents`` names what its log holds."""
    parser.add_argument(
        '--platform',
        required=True,
        metavar='URL',
        help=f'the platform, whose log service holds the {contents}',
    )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    add_platform_argument(parser, 'configuration')
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


def run_with_publisher(
    arguments: argparse.Namespace, action: PublisherAction[Result]
) -> Result:
    """Run an action with a publisher that uses the platform's log."""
    timeout_ms = int(arguments.timeout * clocks.MS_PER_SECOND)

    async def publish(log: log_service.LogClient) -> Result:
        session = publishing.Session(log)
        return await action(publishing.Publisher(session, timeout_ms))

    return run_with_log(arguments.platform, publish)


def run_with_log(url: str, action: LogClientAction[Result]) -> Result:
    """Run an action with a client of the log, then close the client."""
    return asyncio.run(_run_with_log(url, action))


async def _run_with_log(url: str, action: LogClientAction[Result]) -> Result:
    log = log_service.LogClient(url)
    try:
        return await action(log)
    finally:
        await log.close()
