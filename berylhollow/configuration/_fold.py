"""Decides which changes of the configuration stream are accepted."""

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
    """The result of evaluating a record."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    NO_RECORD = 'no_record'
    UNKNOWN_RULE = 'unknown_rule'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The last accepted change; revision 0 means none."""

    revision: int = 0
    operator: str = ''
    change_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of one record, the same in every process.

    In a conflict, ``winner`` is the accepted change that this one lost to.
    ``change`` is None if this software can't decode the record.
    """

    outcome: Outcome
    offset: int
    change: _changes.Change | None = None
    winner: Accepted | None = None
    faults: tuple[manifest.Fault, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The result of all records before ``next_offset``.

    ``digest`` is a hash chain over the accepted records: two processes with
    equal digests have accepted the same changes.
    """

    configuration: _configuration.Configuration = _configuration.EMPTY
    next_offset: int = 0
    digest: bytes = bytes(_codec.DIGEST_BYTES)
    last: Accepted = Accepted()

    def snapshot(self) -> bytes:
        """Encode the state as a record of the snapshots stream."""
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
    """Decode a snapshot record into a state.

    Raises ``MalformedRecord`` or ``UnknownRule``.
    """
    snapshot = _codec.decode_snapshot(data)
    if snapshot.revision > snapshot.next_offset:
        raise _entity_codec.MalformedRecord(
            f'revision {snapshot.revision} is after the snapshot'
        )
    return State(
        _configuration.from_manifest(snapshot.declared, snapshot.revision),
        snapshot.next_offset,
        snapshot.digest,
        Accepted(snapshot.revision, snapshot.operator, snapshot.change_id),
    )


def fold(state: State, entry: messages.LogEntry) -> tuple[State, Verdict]:
    """Return the state after the next record of the stream, and its verdict.

    A change is accepted if its base revision is in force at its offset and
    the result is valid. Of concurrent changes, the one with the lowest offset
    is accepted. Raises ``ValueError`` if the entry is not the next one.

    A record with an unknown rule is not skipped: the state stays before it.
    This guards against software versions that disagree. If the old version
    skipped the record, it could accept or reject the next changes where the
    new version does the opposite, and would then serve a configuration that
    nobody published. By stopping it stays on an accepted revision, which may
    be outdated, and its status reports that.
    """
    if entry.offset != state.next_offset:
        raise ValueError(
            f'offset {entry.offset} is not the next: {state.next_offset}'
        )
    skipped = dataclasses.replace(state, next_offset=entry.offset + 1)
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
        return skipped, verdict
    if change.base_revision != state.configuration.revision:
        return skipped, Verdict(
            Outcome.CONFLICT, entry.offset, change, state.last
        )
    return _apply_change(skipped, entry, change)


def _apply_change(
    skipped: State, entry: messages.LogEntry, change: _changes.Change
) -> tuple[State, Verdict]:
    revision = entry.offset + 1
    after, faults = _changes.apply(skipped.configuration, change, revision)
    if faults:
        return skipped, Verdict(
            Outcome.INVALID, entry.offset, change, faults=tuple(faults)
        )
    accepted = State(
        after,
        revision,
        _chain_digest(skipped.digest, entry),
        Accepted(revision, change.operator, change.change_id),
    )
    return accepted, Verdict(Outcome.ACCEPTED, entry.offset, change)


def _chain_digest(digest: bytes, entry: messages.LogEntry) -> bytes:
    offset = entry.offset.to_bytes(OFFSET_BYTES, 'big')
    return hashlib.sha256(digest + offset + entry.data).digest()
