"""The command ``quarantine lift``: let a request run again."""

import argparse

from berylhollow import log_service
from berylhollow import quarantine
from berylhollow.ui import _quarantine_log
from berylhollow.util import exits

EXAMPLE = (
    'berylhollow quarantine lift 1f4c6de2 --operator anna '
    '--platform http://127.0.0.1:8001'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('fingerprint', help='as quarantine list names it')
    parser.add_argument(
        '--operator', required=True, help='who lifts it, for the record'
    )
    _quarantine_log.add_platform_argument(parser)


def run(arguments: argparse.Namespace) -> int:
    """Append a lift to the log; gateways read it at their next poll."""
    lift = quarantine.Lift(arguments.fingerprint, arguments.operator)

    async def append(log: log_service.LogClient) -> int:
        return await log.append(quarantine.STREAM, quarantine.encode(lift))

    offset = _quarantine_log.run_with_log(arguments.platform, append)
    print(f'lifted: {arguments.fingerprint} at offset {offset}')
    return exits.ExitCode.OK
