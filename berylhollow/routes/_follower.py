"""Follow the published routes: inside a gateway's reducer."""

import collections.abc

from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import messages
from berylhollow.routes import _key_proof
from berylhollow.routes import _news
from berylhollow.routes import _table
from berylhollow.routes import _view

Effects = list[effects.Effect]
Decode = collections.abc.Callable[[bytes], _news.News | None]

WAIT_MS = 1500
"""How long a read waits for news.

A connection to the store can go silent without a reset. A read that is held
longer than this by the store was lost with its connection, so this bounds
how late a change is seen: with the margin of the call, under the two seconds
within which users want a new version in force.
"""

RETRY_MS = 250
"""Pause after a failed read: four calls a second while the store is down."""

LOST_READ_MS = 4000
"""A read of which nothing was heard for so long is begun again."""


class RouteFollower:
    """Keeps ``current`` at the newest version seen; a pure machine.

    It never goes back to an older version, whatever order the records of
    two reads arrive in, and whatever copy the log comes back from. ``decode``
    turns a record into news, None if the record is none of ours. Keys are
    used for ``key_bound_ms`` at most after they were taken away, however long
    that is if it is 0. ``era`` is that of the log in which ``next_offset``
    holds, None before the first read.
    """

    def __init__(self, stream: str, decode: Decode, key_bound_ms: int = 0):
        self.stream = stream
        self.decode = decode
        self.current: _view.RouteView | None = None
        self.newest: dict[str, _view.NewestVersion] = {}
        self.keys = _key_proof.KeyProof(key_bound_ms)
        self.keys_held = True
        self.era: int | None = None
        self.next_offset: int | None = None
        self.read_at_ms: int | None = None
        self.retry_at_ms = 0
        self.fresh_ms: int | None = None
        self.lost = False
        self.misread: tuple[str, str] | None = None

    def start(self, at_ms: int) -> Effects:
        """Begin with the newest record of each kind."""
        self.read_at_ms = at_ms
        return [effects.ReadNewest(self.stream)]

    def handle(self, event: events.Event) -> Effects:
        """Take in what was read; read on at once after news."""
        match event:
            case events.LogRead() if event.stream == self.stream:
                return self._read(event)
            case events.LogReadFailed() if event.stream == self.stream:
                return self._failed(event)
            case events.LogChecked() if event.stream == self.stream:
                return self._checked(event)
        return []

    def tick(
        self,
        at_ms: int,
        live_gateways: list[str],
        peers: list[str],
        self_id: str,
    ) -> Effects:
        """Read on when a pause is over, or a read was lost."""
        done = self._check(at_ms)
        if self.read_at_ms is not None:
            if at_ms - self.read_at_ms < LOST_READ_MS:
                return done
        elif at_ms < self.retry_at_ms:
            return done
        return done + self._next(at_ms)

    def keys_hold(self, at_ms: int) -> bool:
        """Tell whether keys are known well enough to use them."""
        return self.keys.holds(at_ms)

    def keys_age_ms(self, at_ms: int) -> int:
        """Return how old the newest proof of the keys is."""
        return self.keys.age_ms(at_ms)

    def status(self, at_ms: int) -> following.Status:
        """Return how far we are, for operators."""
        age_ms = -1 if self.fresh_ms is None else at_ms - self.fresh_ms
        revision = 0 if self.current is None else self.current.revision
        return following.Status(
            revision, self.next_offset or 0, '', age_ms, True
        )

    def _next(self, at_ms: int) -> Effects:
        self.read_at_ms = at_ms
        if self.next_offset is None:
            return [effects.ReadNewest(self.stream)]
        return [effects.ReadLog(self.stream, self.next_offset, WAIT_MS)]

    def _check(self, at_ms: int) -> Effects:
        """Read for a new proof of the keys, if that is due."""
        if not self._has_keys():
            return []
        done = self._tell_keys(at_ms)
        if self.next_offset is None or not self.keys.due(at_ms):
            return done
        self.keys.checks(at_ms)
        return [*done, effects.CheckLog(self.stream, self.next_offset)]

    def _tell_keys(self, at_ms: int) -> Effects:
        """Say when keys can't be proven any more, and when they are again."""
        hold = self.keys_hold(at_ms)
        if hold == self.keys_held:
            return []
        self.keys_held = hold
        text = 'keys are proven again' if hold else 'keys can not be proven'
        fields = (
            ('age_ms', self.keys_age_ms(at_ms)),
            ('bound_ms', self.keys.bound_ms),
            ('revision', self.current.revision),
        )
        return [effects.Log(text, fields, warning=not hold)]

    def _has_keys(self) -> bool:
        return self.current is not None and self.current.has_workspaces

    def _checked(self, event: events.LogChecked) -> Effects:
        read = event.read
        used = read is not None and read.era == self.era
        self.keys.checked(event.at_ms, used)
        if read is None:
            return []
        return self._take_read(read)

    def _read(self, event: events.LogRead) -> Effects:
        done = self._take_read(event)
        return done + self._next(event.at_ms)

    def _take_read(self, event: events.LogRead) -> Effects:
        done: Effects = []
        if self.lost:
            self.lost = False
            fields = (('stream', self.stream),)
            done.append(effects.Log('stream is read again', fields))
        if self.era is not None and event.era < self.era:
            return done
        if self.era is not None and event.era > self.era:
            done += self._log_came_back(event)
        if self.next_offset is None and event.from_offset is not None:
            # Asked for before offsets were given out again.
            return done
        self.era = event.era
        self.keys.ends_at(event.next_offset)
        for entry in event.entries:
            done += self._take(entry, event.at_ms)
        self.next_offset = max(self.next_offset or 0, event.next_offset)
        self.fresh_ms = event.at_ms
        if event.begun_ms is not None and event.whole:
            self.keys.read(event.begun_ms)
        return done

    def _log_came_back(self, event: events.LogRead) -> Effects:
        """Offsets were given out again: begin anew with the newest records.

        What is in force stays, and keys are not taken for proven before the
        operators can have written again what the log has lost.
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
        self.keys.log_came_back(event.at_ms)
        text = 'log came back from an older copy'
        return [effects.Log(text, fields, warning=True)]

    def _failed(self, event: events.LogReadFailed) -> Effects:
        """Try again after a pause; from the newest if records are gone."""
        self.read_at_ms = None
        self.retry_at_ms = event.at_ms + RETRY_MS
        if event.first_offset is None:
            return self._lost(event.at_ms)
        self.next_offset = None
        fields = (('stream', event.stream), ('first', event.first_offset))
        return [effects.Log('history was dropped', fields, warning=True)]

    def _lost(self, at_ms: int) -> Effects:
        """Say once that the stream can't be read, and how old it is."""
        if self.lost:
            return []
        self.lost = True
        fields = (
            ('stream', self.stream),
            ('revision', self.current.revision if self.current else 0),
            ('age_ms', self.status(at_ms).age_ms),
        )
        return [effects.Log('stream can not be read', fields, warning=True)]

    def _take(self, entry: messages.LogEntry, at_ms: int) -> Effects:
        try:
            news = self.decode(entry.data)
        except _news.MalformedRecordError as error:
            return self._misread(error)
        self.misread = None
        if isinstance(news, _table.RouteTable):
            self.keys.written(entry.offset)
            return self._take_table(news)
        if isinstance(news, _news.NewAdapterVersion):
            return self._take_version(news, at_ms)
        return []

    def _misread(self, error: _news.MalformedRecordError) -> Effects:
        """Say once what can't be read, however often it is written."""
        what = (error.key, str(error))
        if what == self.misread:
            return []
        self.misread = what
        fields = (('stream', self.stream), ('reason', str(error)))
        return [effects.Log('record not understood', fields, True)]

    def _take_table(self, table: _table.RouteTable) -> Effects:
        if self.current is not None and (
            table.version <= self.current.revision
        ):
            return []
        self.current = _view.RouteView.of(table, self.newest)
        return []

    def _take_version(
        self, news: _news.NewAdapterVersion, at_ms: int
    ) -> Effects:
        adapter = news.adapter
        known = self.newest.get(adapter.adapter)
        before = _view.FIRST_VERSION if known is None else known.version
        if int(adapter.version) <= int(before):
            return []
        self.newest[adapter.adapter] = _view.NewestVersion(
            adapter.version, at_ms, before
        )
        fields = (
            ('adapter', adapter.adapter),
            ('version', adapter.version),
            ('before', before),
        )
        return [effects.Log('new adapter version', fields)]
