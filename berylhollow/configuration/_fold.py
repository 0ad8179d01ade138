"""Acceptance: a pure function of the prefix of the configuration stream."""

import dataclasses
import enum
import hashlib

from berylhollow.configuration import _changes
from berylhollow.configuration import _codec
from berylhollow.configuration import _configuration
from berylhollow.configuration import _entity_codec
from berylhollow import manifest
from berylhollow import messages

OFFSET_BYTES = 8


class Outcome(enum.Enum):
    """What becomes of a record."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    NO_RECORD = 'no_record'
    UNKNOWN_RULE = 'unknown_rule'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The last change that was accepted; revision 0 is none."""

    revision: int = 0
    operator: str = ''
    change_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of one record, the same in every process.

    ``won`` is, of a conflict, the change that came first. ``change`` is None
    for a record that holds none that this software can read.
    """

    outcome: Outcome
    offset: int
    change: _changes.Change | None = None
    won: Accepted | None = None
    faults: tuple[manifest.Fault, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What the records before ``next_offset`` add up to.

    ``digest`` is chained over the accepted records, so that two processes
    can compare all that they accepted by comparing it.
    """

    configuration: _configuration.Configuration = _configuration.EMPTY
    next_offset: int = 0
    digest: bytes = bytes(_codec.DIGEST_BYTES)
    last: Accepted = Accepted()

    def snapshot(self) -> bytes:
        """Return the state as a record of the snapshots stream."""
        return _codec.encode_snapshot(
            _codec.Snapshot(
                self.next_offset,
                self.configuration.revision,
                self.digest,
                self.last.operator,
                self.last.change_id,
                self.configuration.manifest(),
            )
        )


INITIAL = State()


def from_snapshot(data: bytes) -> State:
    """Return the state of a snapshot record.

    Raises ``MalformedRecord`` and ``UnknownRule``.
    """
    snapshot = _codec.decode_snapshot(data)
    if snapshot.revision > snapshot.next_offset:
        raise _entity_codec.MalformedRecord('a revision that is yet to come')
    return State(
        _configuration.from_manifest(snapshot.declared, snapshot.revision),
        snapshot.next_offset,
        snapshot.digest,
        Accepted(snapshot.revision, snapshot.operator, snapshot.change_id),
    )


def fold(state: State, entry: messages.LogEntry) -> tuple[State, Verdict]:
    """Return the state after the next record of the stream, and its verdict.

    A change is accepted iff the revision that it is based on is in force at
    its offset and its result is valid; of racing changes the first by offset
    wins. ``ValueError`` if the entry is not the next one.

    A record of an unknown rule is not passed: the state stays before it.
    Guards against two software versions that disagree. Were the record
    skipped, the old version would take the next change for based on the
    right revision or not, against what the new one says, and serve from then
    on a configuration that nobody published. Staying keeps it on a revision
    that was accepted, late but true, and it says so.
    """
    if entry.offset != state.next_offset:
        raise ValueError(f'{entry.offset} does not follow the state')
    passed = dataclasses.replace(state, next_offset=entry.offset + 1)
    try:
        change = _codec.decode_change(entry.data)
    except _codec.UnknownRule as error:
        fault = manifest.Fault('record', str(error))
        return state, Verdict(
            Outcome.UNKNOWN_RULE, entry.offset, faults=(fault,)
        )
    except _entity_codec.MalformedRecord as error:
        fault = manifest.Fault('record', str(error))
        verdict = Verdict(Outcome.NO_RECORD, entry.offset, faults=(fault,))
        return passed, verdict
    if change.base_revision != state.configuration.revision:
        return passed, Verdict(
            Outcome.CONFLICT, entry.offset, change, state.last
        )
    return _judge(passed, entry, change)


def _judge(
    passed: State, entry: messages.LogEntry, change: _changes.Change
) -> tuple[State, Verdict]:
    revision = entry.offset + 1
    after, faults = _changes.apply(passed.configuration, change, revision)
    if faults:
        return passed, Verdict(
            Outcome.INVALID, entry.offset, change, faults=tuple(faults)
        )
    accepted = State(
        after,
        revision,
        _chain(passed.digest, entry),
        Accepted(revision, change.operator, change.change_id),
    )
    return accepted, Verdict(Outcome.ACCEPTED, entry.offset, change)


def _chain(digest: bytes, entry: messages.LogEntry) -> bytes:
    offset = entry.offset.to_bytes(OFFSET_BYTES, 'big')
    return hashlib.sha256(digest + offset + entry.data).digest()
