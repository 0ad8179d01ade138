"""Records of the quarantine stream, in CBOR."""

import dataclasses

import cbor2

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
    """

    crash_id: str
    service: str
    fingerprints: tuple[str, ...]


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
        fields = [CRASH_TAG, record.crash_id, record.service]
        return cbor2.dumps([*fields, list(record.fingerprints)])
    return cbor2.dumps([LIFT_TAG, record.fingerprint, record.operator])


def decode(data: bytes) -> Record:
    """Return the record; raise RecordError if it is malformed or unknown."""
    try:
        fields = cbor2.loads(data)
        if fields[0] == CRASH_TAG:
            return Crash(fields[1], fields[2], tuple(fields[3]))
        if fields[0] == LIFT_TAG:
            return Lift(fields[1], fields[2])
    except (cbor2.CBORDecodeError, TypeError, LookupError) as e:
        raise RecordError(str(e)) from e
    raise RecordError(f'unknown tag {fields[0]!r}')
