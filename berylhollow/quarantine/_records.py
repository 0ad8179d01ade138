"""Records of the quarantine stream, in CBOR."""

import dataclasses

import cbor2

from berylhollow import messages

STREAM = 'quarantine'
CRASH_TAG = 1
LIFT_TAG = 2

REPORTER_SEPARATOR = ' at '
"""Stands between the endpoint and the process that reports its crash."""


class RecordError(ValueError):
    """A record does not belong to the quarantine stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint crashed while it ran the requests of these fingerprints.

    ``crash_id`` names the endpoint and the epoch that ended, and the reporter
    if several processes may report the crash, each with its own requests.
    ``runs`` has one run of each fingerprint, unless an older process wrote
    the record.
    """

    crash_id: str
    service: str
    fingerprints: tuple[str, ...]
    runs: tuple[messages.LostRun, ...] = ()

    def run(self, index: int) -> messages.LostRun | None:
        """Return the run of a fingerprint, None if it is not known."""
        return self.runs[index] if index < len(self.runs) else None


def reported_crash_id(ended: str, reporter: str) -> str:
    """Return the ``crash_id`` of one of several reports of a crash."""
    return f'{ended}{REPORTER_SEPARATOR}{reporter}'


def ended_epoch(crash_id: str) -> str:
    """Return the epoch that ended, the same for all reports of a crash."""
    return crash_id.rpartition(REPORTER_SEPARATOR)[0] or crash_id


@dataclasses.dataclass(frozen=True, slots=True)
class Lift:
    """An operator lifted the quarantine of a fingerprint."""

    fingerprint: str
    operator: str


Record = Crash | Lift


def encode(record: Record) -> bytes:
    """Return a record as the CBOR that ``decode`` reads."""
    if isinstance(record, Crash):
        runs = [
            [run.crashes_known, run.began_ms_ago, run.lost_ms_ago]
            for run in record.runs
        ]
        fields = [CRASH_TAG, record.crash_id, record.service]
        return cbor2.dumps([*fields, list(record.fingerprints), runs])
    return cbor2.dumps([LIFT_TAG, record.fingerprint, record.operator])


def decode(data: bytes) -> Record:
    """Return the record; raise RecordError if it is malformed or unknown."""
    try:
        fields = cbor2.loads(data)
        if fields[0] == CRASH_TAG:
            runs = fields[4] if len(fields) > 4 else ()
            return Crash(
                fields[1],
                fields[2],
                tuple(fields[3]),
                tuple(messages.LostRun(*map(int, run)) for run in runs),
            )
        if fields[0] == LIFT_TAG:
            return Lift(fields[1], fields[2])
    except (
        cbor2.CBORDecodeError,
        TypeError,
        ValueError,
        LookupError,
    ) as e:
        raise RecordError(str(e)) from e
    raise RecordError(f'unknown tag {fields[0]!r}')
