"""What the records of the list say, those of other writers among them."""

import collections.abc
import logging

from berylhollow import events
from berylhollow import messages
from berylhollow import routes

LOG = logging.getLogger(__name__)

MOST_MALFORMED = 256
"""Names whose unreadable entry was told of: each is told once, and a writer
that makes up names must not fill the memory or the log."""

Decode = collections.abc.Callable[[bytes], tuple[str, events.Instance | None]]
Decoded = tuple[messages.LogEntry, str, events.Instance | None]


class Entries:
    """Decodes records; ``malformed`` has why those of a name can't be read."""

    def __init__(self, decode: Decode):
        self.decode = decode
        self.malformed: dict[str, str] = {}

    def decoded(
        self, entries: collections.abc.Iterable[messages.LogEntry]
    ) -> collections.abc.Iterator[Decoded]:
        """Yield what was read, with names and rows.

        An unreadable entry names no endpoint. It takes the place of a good
        one of the same name, as any newer entry does: whether that was read
        as the newest of all or as the next record, the same endpoints are in
        use. A living endpoint writes its own again within a heartbeat.
        """
        for entry in entries:
            try:
                name, row = self.decode(entry.data)
            except routes.MalformedRecordError as error:
                self._note(error, entry.offset)
                if error.key:
                    yield entry, error.key, None
                continue
            self.malformed.pop(name, None)
            yield entry, name, row

    def _note(self, error: routes.MalformedRecordError, offset: int) -> None:
        reason = str(error)
        if self.malformed.get(error.key) == reason:
            return
        if len(self.malformed) >= MOST_MALFORMED:
            return
        self.malformed[error.key] = reason
        LOG.warning(
            'entry not understood',
            extra={'offset': offset, 'entry': error.key, 'reason': reason},
        )
