"""Decode the records of the endpoint list and skip malformed ones."""

import collections.abc
import logging

from berylhollow import events
from berylhollow import messages
from berylhollow import routes

LOG = logging.getLogger(__name__)

MAX_MALFORMED_NAMES = 256
"""Number of names whose malformed entry is remembered and logged, once for
each reason. The limit keeps a writer that makes up names from filling the
memory or the log."""

Decode = collections.abc.Callable[[bytes], tuple[str, events.Instance | None]]
DecodedEntry = tuple[messages.LogEntry, str, events.Instance | None]


class Entries:
    """Decodes records of the endpoint list.

    ``malformed`` maps a name to the reason why its newest entry can't be
    decoded.
    """

    def __init__(self, decode: Decode):
        self.decode = decode
        self.malformed: dict[str, str] = {}

    def decode_all(
        self, entries: collections.abc.Iterable[messages.LogEntry]
    ) -> collections.abc.Iterator[DecodedEntry]:
        """Yield each entry with its name and its decoded row.

        The row is None for a removal and for a malformed entry, which replaces
        a good one of the same name as any newer entry does. So the same
        endpoints are in use whether the malformed entry was read with the
        whole list or as the next record. A live endpoint writes its entry
        again within a heartbeat.
        """
        for entry in entries:
            try:
                name, row = self.decode(entry.data)
            except routes.MalformedRecordError as error:
                self._log_malformed(error, entry.offset)
                if error.key:
                    yield entry, error.key, None
                continue
            self.malformed.pop(name, None)
            yield entry, name, row

    def _log_malformed(
        self, error: routes.MalformedRecordError, offset: int
    ) -> None:
        reason = str(error)
        if self.malformed.get(error.key) == reason:
            return
        if len(self.malformed) >= MAX_MALFORMED_NAMES:
            return
        self.malformed[error.key] = reason
        LOG.warning(
            'entry not understood',
            extra={'offset': offset, 'entry': error.key, 'reason': reason},
        )
