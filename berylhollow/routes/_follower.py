"""Follow the published routes: inside a gateway's reducer."""

import collections.abc

from berylhollow import effects
from berylhollow import events
from berylhollow import following
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
    two reads arrive in. ``decode`` turns a record into news, None if the
    record is none of ours.
    """

    def __init__(self, stream: str, decode: Decode):
        self.stream = stream
        self.decode = decode
        self.current: _view.RouteView | None = None
        self.newest: dict[str, _view.NewestVersion] = {}
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
        return []

    def tick(
        self,
        at_ms: int,
        live_gateways: list[str],
        peers: list[str],
        self_id: str,
    ) -> Effects:
        """Read on when a pause is over, or a read was lost."""
        if self.read_at_ms is not None:
            if at_ms - self.read_at_ms < LOST_READ_MS:
                return []
        elif at_ms < self.retry_at_ms:
            return []
        return self._next(at_ms)

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

    def _read(self, event: events.LogRead) -> Effects:
        done: Effects = []
        if self.lost:
            self.lost = False
            fields = (('stream', self.stream),)
            done.append(effects.Log('stream is read again', fields))
        for entry in event.entries:
            done += self._take(entry.data, event.at_ms)
        self.next_offset = max(self.next_offset or 0, event.next_offset)
        self.fresh_ms = event.at_ms
        return done + self._next(event.at_ms)

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

    def _take(self, data: bytes, at_ms: int) -> Effects:
        try:
            news = self.decode(data)
        except _news.MalformedRecordError as error:
            return self._misread(error)
        self.misread = None
        if isinstance(news, _table.RouteTable):
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
