"""The command ``quarantine list``: which requests crash endpoints."""

import argparse

from berylhollow import quarantine
from berylhollow.ui import _quarantine_log
from berylhollow.util import exits

EXAMPLE = 'berylhollow quarantine list --platform http://127.0.0.1:8001'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    _quarantine_log.add_platform_argument(parser)


def run(arguments: argparse.Namespace) -> int:
    """Print a line per fingerprint with its service and crash counts.

    ``alone`` counts the crashes with this request as the only suspect.
    """
    records = _quarantine_log.run_with_log(
        arguments.platform, _quarantine_log.read_records
    )
    by_fingerprint = _crashes_by_fingerprint(records)
    for fingerprint, crashes in by_fingerprint.items():
        only_suspect = sum(len(crash.fingerprints) == 1 for crash in crashes)
        print(
            f'{fingerprint}  service {crashes[-1].service}  '
            f'crashes {len(crashes)}  alone {only_suspect}  '
            f'last {crashes[-1].crash_id}'
        )
    if not by_fingerprint:
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
