"""What a process has read of the configuration stream."""

import collections
import collections.abc
import logging

from berylhollow.configuration import _codec
from berylhollow.configuration import _entity_codec
from berylhollow.configuration import _fold
from berylhollow import messages

LOG = logging.getLogger(__name__)
KEPT_ENTRIES = 256
KEPT_BYTES = 256 * 1024
KEPT_VERDICTS = 64


class History:
    """The fold over what was read, and the end of the stream itself.

    ``recent`` holds the last entries as they were read, without gaps, for
    peers that lag. ``stopped`` is why the fold had to stop before the next
    record, '' if it did not. A snapshot that reaches further
    than ``reach`` is not taken over.
    """

    def __init__(self, kept_verdicts: int = KEPT_VERDICTS):
        self.state = _fold.INITIAL
        self.reach: int | None = None
        self.recent: collections.deque[messages.LogEntry] = collections.deque()
        self.recent_bytes = 0
        self.verdicts: collections.deque[_fold.Verdict] = collections.deque(
            maxlen=kept_verdicts
        )
        self.stopped = ''
        self.packed: bytes | None = None

    def add(
        self, entries: collections.abc.Iterable[messages.LogEntry]
    ) -> tuple[messages.LogEntry, ...]:
        """Fold the entries that are new; return them.

        Entries that were read before are passed over, whoever sends them and
        however late; those behind a gap are left for another reading.
        """
        added = []
        for entry in entries:
            if entry.offset == self.state.next_offset and self.fold(entry):
                added.append(entry)
        return tuple(added)

    def fold(self, entry: messages.LogEntry) -> bool:
        """Fold the next entry; return whether it could be judged."""
        if self.stopped:
            return False
        verdict = self.judge(entry)
        if self.stopped:
            return False
        self.packed = None
        self.verdicts.append(verdict)
        self.keep(entry)
        return True

    def judge(self, entry: messages.LogEntry) -> _fold.Verdict | None:
        """Fold the next entry, or note why that can't be done.

        Guards against a record that a defect of ours can't take. Raising
        would end every process that reads it, and again as soon as each is
        started anew. Passing it would leave open what another software
        version makes of it. So the process stays before it, goes on serving
        and says so.
        """
        try:
            self.state, verdict = _fold.fold(self.state, entry)
        except Exception:
            LOG.exception('a defect in judging the change at %d', entry.offset)
            self.stopped = f'a defect in judging offset {entry.offset}'
            return None
        if verdict.outcome is _fold.Outcome.UNKNOWN_RULE:
            self.stopped = '; '.join(map(str, verdict.faults))
        return verdict

    def keep(self, entry: messages.LogEntry) -> None:
        """Keep an entry for peers, within bounds."""
        self.recent.append(entry)
        self.recent_bytes += len(entry.data)
        while self.recent and (
            len(self.recent) > KEPT_ENTRIES or self.recent_bytes > KEPT_BYTES
        ):
            self.recent_bytes -= len(self.recent.popleft().data)

    def install(self, data: bytes) -> bool:
        """Take over a snapshot if it reaches further; return whether it did.

        Guards against a revert. A snapshot may have been written late, by a
        process that was paused or by two at once, or come from a peer that
        lags; taken over, it would bring back a configuration that was
        replaced. All that is known before an offset follows from the log
        alone, so the one that reaches further holds all of the other.
        """
        try:
            if not self.wants(_codec.reach_of(data)):
                return False
            state = _fold.from_snapshot(data)
        except (_entity_codec.MalformedRecord, _codec.UnknownRule):
            return False
        except Exception:
            LOG.exception('a defect in reading a snapshot')
            return False
        self.state = state
        self.stopped = ''
        self.packed = data
        self.recent.clear()
        self.recent_bytes = 0
        return True

    def wants(self, next_offset: int) -> bool:
        """Return whether a snapshot that reaches so far is to be taken."""
        if self.reach is not None and next_offset > self.reach:
            return False
        return next_offset > self.state.next_offset

    def snapshot(self) -> bytes:
        """Return the state as a record; kept until the state changes."""
        if self.packed is None:
            self.packed = self.state.snapshot()
        return self.packed

    def entries_from(
        self, offset: int
    ) -> tuple[messages.LogEntry, ...] | None:
        """Return what follows an offset, None if it is no longer kept."""
        first = self.state.next_offset - len(self.recent)
        if not first <= offset <= self.state.next_offset:
            return None
        return tuple(entry for entry in self.recent if entry.offset >= offset)
