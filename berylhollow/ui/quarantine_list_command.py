"""The command ``quarantine list``: which requests crash endpoints."""

import argparse

from berylhollow import quarantine
from berylhollow.ui import _quarantine_log
from berylhollow.util import exits

EXAMPLE = 'berylhollow quarantine list --platform http://127.0.0.1:8001'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    _quarantine_log.add_platform(parser)


def run(arguments: argparse.Namespace) -> int:
    """Print a line a fingerprint: crashes, those alone, and its service."""
    records = _quarantine_log.with_log(
        arguments.platform, _quarantine_log.read_all
    )
    crashes = _crashes_by_fingerprint(records)
    for fingerprint, found in crashes.items():
        alone = sum(len(crash.fingerprints) == 1 for crash in found)
        print(
            f'{fingerprint}  service {found[-1].service}  '
            f'crashes {len(found)}  alone {alone}  last {found[-1].crash_id}'
        )
    if not crashes:
        print('no request is suspect')
    return exits.ExitCode.OK


def _crashes_by_fingerprint(
    records: list[quarantine.Record],
) -> dict[str, list[quarantine.Crash]]:
    crashes: dict[str, list[quarantine.Crash]] = {}
    for record in records:
        if isinstance(record, quarantine.Lift):
            crashes.pop(record.fingerprint, None)
            continue
        for fingerprint in record.fingerprints:
            crashes.setdefault(fingerprint, []).append(record)
    return crashes
