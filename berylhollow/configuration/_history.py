"""The records that a process has read from the configuration stream."""

import collections
import collections.abc
import logging

from berylhollow.configuration import _codec
from berylhollow.configuration import _entity_codec
from berylhollow.configuration import _fold
from berylhollow import messages

LOG = logging.getLogger(__name__)
MAX_RECENT_ENTRIES = 256
KEPT_BYTES = 256 * 1024
KEPT_VERDICTS = 64


class History:
    """The state folded from the records read, and the most recent records.

    ``recent`` holds the last entries in order and without gaps, for peers
    that lag. ``stopped`` is the reason why the fold stopped before the next
    record, '' if it did not. A snapshot with a ``next_offset`` greater than
    ``max_snapshot_offset`` is not installed. ``encoded_state`` caches the
    encoded state.
    """

    def __init__(self, kept_verdicts: int = KEPT_VERDICTS):
        self.state = _fold.INITIAL
        self.max_snapshot_offset: int | None = None
        self.recent: collections.deque[messages.LogEntry] = collections.deque()
        self.recent_bytes = 0
        self.verdicts: collections.deque[_fold.Verdict] = collections.deque(
            maxlen=kept_verdicts
        )
        self.stopped = ''
        self.encoded_state: bytes | None = None

    def add(
        self, entries: collections.abc.Iterable[messages.LogEntry]
    ) -> tuple[messages.LogEntry, ...]:
        """Fold the new entries and return them.

        Entries that were folded before are ignored, so that duplicates and
        late messages have no effect. Entries after a gap are ignored too and
        have to be read again.
        """
        added = []
        for entry in entries:
            if entry.offset == self.state.next_offset and self.add_next(entry):
                added.append(entry)
        return tuple(added)

    def add_next(self, entry: messages.LogEntry) -> bool:
        """Fold the next entry; return whether the fold got past it."""
        if self.stopped:
            return False
        verdict = self.fold_guarded(entry)
        if self.stopped:
            return False
        self.encoded_state = None
        self.verdicts.append(verdict)
        self.retain(entry)
        return True

    def fold_guarded(self, entry: messages.LogEntry) -> _fold.Verdict | None:
        """Fold the next entry; on failure set ``stopped`` instead.

        Guards against a record that triggers a defect in this software. An
        exception would end every process that reads the record, again after
        each restart. If the record were skipped, another software version
        could evaluate it differently. So the process stops before the record,
        continues to serve and reports the reason in its status.
        """
        try:
            self.state, verdict = _fold.fold(self.state, entry)
        except Exception:
            LOG.exception(
                'folding the change at offset %d failed', entry.offset
            )
            self.stopped = (
                f'folding the change at offset {entry.offset} failed'
            )
            return None
        if verdict.outcome is _fold.Outcome.UNKNOWN_RULE:
            self.stopped = '; '.join(map(str, verdict.faults))
        return verdict

    def retain(self, entry: messages.LogEntry) -> None:
        """Keep an entry for peers that lag and drop the oldest ones."""
        self.recent.append(entry)
        self.recent_bytes += len(entry.data)
        while self.recent and (
            len(self.recent) > MAX_RECENT_ENTRIES
            or self.recent_bytes > KEPT_BYTES
        ):
            self.recent_bytes -= len(self.recent.popleft().data)

    def install(self, data: bytes) -> bool:
        """Install a snapshot if it is newer; return whether it was installed.

        Guards against a revert to an older revision. A snapshot may be out of
        date because its writer was paused, because two processes wrote at
        once, or because the peer that sent it lags. Installing it would
        restore a configuration that was replaced. The state at an offset
        depends on the log alone, so the snapshot with the higher offset
        includes everything in the other.
        """
        try:
            if not self.should_install(_codec.read_next_offset(data)):
                return False
            state = _fold.from_snapshot(data)
        except (_entity_codec.MalformedRecord, _codec.UnknownRule):
            return False
        except Exception:
            LOG.exception('reading a snapshot failed')
            return False
        self.state = state
        self.stopped = ''
        self.encoded_state = data
        self.recent.clear()
        self.recent_bytes = 0
        return True

    def should_install(self, next_offset: int) -> bool:
        """Return whether a snapshot with this next offset is needed."""
        if (
            self.max_snapshot_offset is not None
            and next_offset > self.max_snapshot_offset
        ):
            return False
        return next_offset > self.state.next_offset

    def snapshot(self) -> bytes:
        """Return the encoded state, cached until the state changes."""
        if self.encoded_state is None:
            self.encoded_state = self.state.snapshot()
        return self.encoded_state

    def entries_from(
        self, offset: int
    ) -> tuple[messages.LogEntry, ...] | None:
        """Return the entries from an offset on, None if some were dropped."""
        first = self.state.next_offset - len(self.recent)
        if not first <= offset <= self.state.next_offset:
            return None
        return tuple(entry for entry in self.recent if entry.offset >= offset)
