"""Follows the published routes; part of a gateway's reducer."""

import collections.abc

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import messages
from berylhollow.routes import _key_proof
from berylhollow.routes import _records
from berylhollow.routes import _table
from berylhollow.routes import _view

Effects = list[effects.Effect]
Decode = collections.abc.Callable[[bytes], _records.PublishedRecord | None]

READ_WAIT_MS = 1500
"""How long the store may hold a read until new records arrive.

A connection to the store can go silent without a reset. A read that takes
longer than this was lost with its connection, so this bounds how late a change
is seen: with the margin of the call, under the two seconds within which users
want a new version in force.
"""

READ_RETRY_MS = 250
"""Pause after a failed read: four calls a second while the store is down."""

READ_GAP_MS = 100
"""Longest time between two reads that follow each other without a failure."""

READ_TIMEOUT_MS = 4000
"""Time without an answer after which a read is begun again."""


class RouteFollower:
    """Keeps ``current`` at the newest published routes; does no I/O itself.

    It never returns to an older version, in whatever order the records of two
    reads arrive and from whatever copy the log is restored.

    - ``decode`` decodes a record; it returns None for records of no concern
      here.
    - ``key_bound_ms`` limits how long a key may be used after its revocation;
      0 sets no limit.
    - ``era`` is the era of the log for which ``next_offset`` is valid, None
      before the first read.
    - ``record`` is the one of the routes in force.
    - ``whole_read_ms`` is when the last read began that saw the whole log.
    - ``ticked_ms`` is when the last tick was handled, None before the first.
    - ``complete_ms`` is a time up to which all records are known. It is later
      than ``whole_read_ms`` where other processes read.
    """

    def __init__(self, stream: str, decode: Decode, key_bound_ms: int = 0):
        self.stream = stream
        self.decode = decode
        self.current: _view.RouteView | None = None
        self.record = b''
        self.whole_read_ms = clock.NEVER_MS
        self.complete_ms = clock.NEVER_MS
        self.newest_versions: dict[str, _view.NewestVersion] = {}
        self.key_proof = _key_proof.KeyProof(key_bound_ms)
        self.were_keys_valid = True
        self.era: int | None = None
        self.next_offset: int | None = None
        self.read_begun_ms: int | None = None
        self.next_read_ms = 0
        self.last_read_ms: int | None = None
        self.ticked_ms: int | None = None
        self.is_unreadable = False
        self.last_malformed: tuple[str, str] | None = None

    def start(self, at_ms: int) -> Effects:
        """Read the newest record of each key."""
        self.read_begun_ms = at_ms
        return [effects.ReadNewest(self.stream)]

    def handle(self, event: events.Event) -> Effects:
        """Apply the result of a read and begin the next one."""
        match event:
            case events.LogRead() if event.stream == self.stream:
                return self._handle_read(event)
            case events.LogReadFailed() if event.stream == self.stream:
                return self._handle_read_failure(event)
            case events.LogChecked() if event.stream == self.stream:
                return self._handle_check(event)
        return []

    def tick(
        self,
        at_ms: int,
        live_gateways: list[str],
        peers: list[str],
        self_id: str,
    ) -> Effects:
        """Begin the next read after a pause or when a read was lost."""
        self.ticked_ms = at_ms
        done = self._begin_check_if_due(at_ms)
        if self.read_begun_ms is not None:
            if at_ms - self.read_begun_ms < READ_TIMEOUT_MS:
                return done
        elif at_ms < self.next_read_ms:
            return done
        return done + self._begin_read(at_ms)

    def are_keys_proven(self, at_ms: int) -> bool:
        """Return whether the keys are proven recently enough to be used."""
        return self.key_proof.is_valid(at_ms)

    def keys_age_ms(self, at_ms: int) -> int:
        """Return the age of the newest proof of the keys."""
        return self.key_proof.age_ms(at_ms)

    def newest_record(self) -> bytes:
        """Return the record of the routes in force."""
        return self.record

    def apply_record(self, data: bytes, at_ms: int) -> Effects:
        """Apply routes that another process has read.

        They prove nothing about the keys: that takes a read of the log.
        """
        try:
            record = self.decode(data)
        except _records.MalformedRecordError as error:
            return self._log_malformed(error)
        if isinstance(record, _table.RouteTable):
            self._apply_table(record, data)
        return []

    def was_read_since(self, since_ms: int) -> bool:
        """Tell whether a read that began since then saw the whole log."""
        return self.whole_read_ms >= since_ms

    def check_log(self, at_ms: int) -> Effects:
        """Begin a read beside the one that waits for records."""
        proof = self.key_proof
        if self.next_offset is None or not proof.may_check(at_ms):
            return []
        proof.begin_check(at_ms)
        return [effects.CheckLog(self.stream, self.next_offset)]

    def status(self, at_ms: int) -> following.Status:
        """Return the revision in force and its age, for operators."""
        age_ms = -1 if self.last_read_ms is None else at_ms - self.last_read_ms
        revision = 0 if self.current is None else self.current.revision
        return following.Status(
            revision, self.next_offset or 0, '', age_ms, True
        )

    def _begin_read(self, at_ms: int) -> Effects:
        self.read_begun_ms = at_ms
        if self.next_offset is None:
            return [effects.ReadNewest(self.stream)]
        return [effects.ReadLog(self.stream, self.next_offset, READ_WAIT_MS)]

    def _begin_check_if_due(self, at_ms: int) -> Effects:
        """Begin a read that proves the keys again, if one is due."""
        if not self._requires_keys():
            return []
        done = self._log_key_state(at_ms)
        if not self.key_proof.is_check_due(at_ms):
            return done
        return done + self.check_log(at_ms)

    def _log_key_state(self, at_ms: int) -> Effects:
        """Log when the proof of the keys expires and when it is renewed."""
        are_keys_valid = self.are_keys_proven(at_ms)
        if are_keys_valid == self.were_keys_valid:
            return []
        self.were_keys_valid = are_keys_valid
        text = (
            'keys are proven again'
            if are_keys_valid
            else 'keys can not be proven'
        )
        fields = (
            ('age_ms', self.keys_age_ms(at_ms)),
            ('bound_ms', self.key_proof.bound_ms),
            ('revision', self.current.revision),
        )
        return [effects.Log(text, fields, warning=not are_keys_valid)]

    def _requires_keys(self) -> bool:
        return self.current is not None and self.current.has_workspaces

    def _handle_check(self, event: events.LogChecked) -> Effects:
        read = event.read
        is_current = read is not None and read.era == self.era
        self.key_proof.end_check(event.at_ms, is_current)
        if read is None:
            return []
        return self._apply_read(read)

    def _handle_read(self, event: events.LogRead) -> Effects:
        done = self._apply_read(event)
        return done + self._begin_read(event.at_ms)

    def _apply_read(self, event: events.LogRead) -> Effects:
        done: Effects = []
        if self.is_unreadable:
            self.is_unreadable = False
            fields = (('stream', self.stream),)
            done.append(effects.Log('stream is read again', fields))
        if self.era is not None and event.era < self.era:
            return done
        if self.era is not None and event.era > self.era:
            done += self._restart_after_restore(event)
        if self.next_offset is None and event.from_offset is not None:
            # This read began before the log was restored.
            return done
        self.era = event.era
        self.key_proof.record_log_end(event.next_offset)
        known_offset = self.next_offset or 0
        named_ms = self._earliest_naming_ms(event)
        for entry in event.entries:
            # A check and a read of the same records end one after the other.
            if event.from_offset is None or entry.offset >= known_offset:
                done += self._apply_record(entry, named_ms)
        self.next_offset = max(self.next_offset or 0, event.next_offset)
        self.last_read_ms = event.at_ms
        if event.whole:
            seen_ms = event.at_ms if event.begun_ms is None else event.begun_ms
            self.complete_ms = max(self.complete_ms, seen_ms)
        if event.begun_ms is not None and event.whole:
            self.whole_read_ms = max(self.whole_read_ms, event.begun_ms)
            self.key_proof.record_read(event.begun_ms)
        return done

    def _earliest_naming_ms(self, event: events.LogRead) -> int:
        """Return the earliest time at which versions in a read were named.

        A read that began when the last one ended waits for new records and
        returns them at once. Any other may find records of any time since the
        log was last known in full.
        """
        if not self._is_prompt(event):
            return self.complete_ms
        # The process may have stood still since the last tick.
        return min(event.at_ms, self.ticked_ms or event.at_ms)

    def _is_prompt(self, event: events.LogRead) -> bool:
        """Tell whether a read returned new records when they were written."""
        if event.from_offset is None or event.begun_ms is None:
            return False
        if event.begun_ms - self.last_read_ms > READ_GAP_MS:
            return False
        return event.at_ms - event.begun_ms <= READ_WAIT_MS

    def _restart_after_restore(self, event: events.LogRead) -> Effects:
        """Start over with the newest records after the log was restored.

        The restored log assigns its offsets anew. The routes in force stay.
        Keys do not count as proven until the operators have had time to write
        again what the log has lost.
        """
        fields = (
            ('stream', self.stream),
            ('era', event.era),
            ('era_before', self.era),
            ('next_offset', event.next_offset),
            ('next_offset_before', self.next_offset),
            ('revision', self.current.revision if self.current else 0),
            ('keys_age_ms', self.keys_age_ms(event.at_ms)),
        )
        self.era = event.era
        self.next_offset = None
        self.key_proof.record_log_restore(event.at_ms)
        text = 'log came back from an older copy'
        return [effects.Log(text, fields, warning=True)]

    def _handle_read_failure(self, event: events.LogReadFailed) -> Effects:
        """Retry after a pause; from the newest records if some are gone."""
        self.read_begun_ms = None
        self.next_read_ms = event.at_ms + READ_RETRY_MS
        if event.first_offset is None:
            return self._log_unreadable(event.at_ms)
        self.next_offset = None
        fields = (('stream', event.stream), ('first', event.first_offset))
        return [effects.Log('history was dropped', fields, warning=True)]

    def _log_unreadable(self, at_ms: int) -> Effects:
        """Log once that the stream can't be read, with the data's age."""
        if self.is_unreadable:
            return []
        self.is_unreadable = True
        fields = (
            ('stream', self.stream),
            ('revision', self.current.revision if self.current else 0),
            ('age_ms', self.status(at_ms).age_ms),
        )
        return [effects.Log('stream can not be read', fields, warning=True)]

    def _apply_record(
        self, entry: messages.LogEntry, named_ms: int
    ) -> Effects:
        try:
            record = self.decode(entry.data)
        except _records.MalformedRecordError as error:
            return self._log_malformed(error)
        self.last_malformed = None
        if isinstance(record, _table.RouteTable):
            self.key_proof.record_configuration(entry.offset)
            self._apply_table(record, entry.data)
            return []
        if isinstance(record, _records.NewAdapterVersion):
            return self._apply_version(record, named_ms)
        return []

    def _log_malformed(self, error: _records.MalformedRecordError) -> Effects:
        """Log a malformed record, once even if it is written repeatedly."""
        malformed = (error.key, str(error))
        if malformed == self.last_malformed:
            return []
        self.last_malformed = malformed
        fields = (('stream', self.stream), ('reason', str(error)))
        return [effects.Log('record not understood', fields, True)]

    def _apply_table(self, table: _table.RouteTable, data: bytes) -> None:
        if self.current is not None and (
            table.version <= self.current.revision
        ):
            return
        self.current = _view.RouteView.from_table(table, self.newest_versions)
        self.record = data

    def _apply_version(
        self, record: _records.NewAdapterVersion, named_ms: int
    ) -> Effects:
        adapter = record.adapter
        known = self.newest_versions.get(adapter.adapter)
        before = _view.FIRST_VERSION if known is None else known.version
        if int(adapter.version) <= int(before):
            return []
        self.newest_versions[adapter.adapter] = (
            _view.NewestVersion(adapter.version, named_ms, before)
            if known is None
            else known.replaced_by(adapter.version, named_ms)
        )
        fields = (
            ('adapter', adapter.adapter),
            ('version', adapter.version),
            ('before', before),
        )
        return [effects.Log('new adapter version', fields)]
