"""Access to the quarantine stream of the log, for the commands."""

import argparse
import typing

from berylhollow import log_service
from berylhollow import outgoing
from berylhollow import quarantine
from berylhollow.ui import _log_options
from berylhollow.util import exits

Result = typing.TypeVar('Result')


def add_platform_argument(parser: argparse.ArgumentParser) -> None:
    _log_options.add_platform_argument(parser, 'quarantine stream')


def run_with_log(
    url: str, action: _log_options.LogClientAction[Result]
) -> Result:
    """Run an action on the log; raise ``UserError`` if a call fails."""
    try:
        return _log_options.run_with_log(url, action)
    except outgoing.CallError as error:
        raise exits.UserError(
            f'the log service did not answer: {error}',
            exits.ExitCode.UNAVAILABLE,
        ) from error


async def read_records(log: log_service.LogClient) -> list[quarantine.Record]:
    """Return the records that the stream still holds, oldest first.

    A record that can't be decoded is skipped, as gateways do.
    """
    records: list[quarantine.Record] = []
    offset = 0
    while True:
        try:
            page = await log.read(quarantine.STREAM, offset)
        except log_service.OffsetGone as gone:
            offset = gone.first_offset
            continue
        if not page.records:
            return records
        for record in page.records:
            offset = record.offset + 1
            try:
                records.append(quarantine.decode(record.data))
            except quarantine.RecordError:
                continue
