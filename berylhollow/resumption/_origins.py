"""Which software version began a stream, as a bounded table.

Callers choose the ids of their requests. Two streams under one id can't be
told apart, so that their origin counts as unknown.
"""

import dataclasses

from berylhollow import clock
from berylhollow import messages
from berylhollow.util import bounded
from berylhollow.util import digests

KEY_BYTES = 16
MAX_KEPT_MS = 3_600_000
"""Longest time for which an origin is kept, whatever another process says."""

SWEEP_MS = 1000
"""Interval at which expired origins are dropped."""

MAX_ORIGINS = 20_000
"""Streams that one process keeps: those of two minutes at a hundred and fifty
a second, in 3.3 MB."""


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The service and software version that began a stream.

    ``software_version`` is empty if it can't be told. The origin is kept
    until ``until_ms``.
    """

    service: str
    software_version: str
    until_ms: int

    @property
    def is_known(self) -> bool:
        return bool(self.software_version)

    def describe(self, stream: bytes, at_ms: int) -> messages.StreamOrigin:
        """Return the origin of a stream as it is told to another process."""
        for_ms = self.until_ms - at_ms
        return messages.StreamOrigin(
            stream, self.service, self.software_version, for_ms
        )


def stream_key(workspace: str, request_id: str) -> bytes:
    """Return the key of a stream, from the id of its first request.

    Callers of different workspaces may use the same id; ``workspace`` is
    empty without one.
    """
    parts = workspace.encode(), request_id.encode()
    return digests.of_parts(parts, KEY_BYTES).digest()


class Origins:
    """Origins of streams by key; the oldest are dropped beyond a limit."""

    def __init__(self, limit: int = MAX_ORIGINS):
        self.limit = limit
        self.entries: dict[bytes, Origin] = {}
        self.swept_ms = clock.NEVER_MS

    def __len__(self) -> int:
        return len(self.entries)

    def record(self, stream: bytes, origin: Origin, at_ms: int) -> None:
        """Keep the origin of a stream, beside what is known of it."""
        known = self.get(stream, at_ms)
        if known is not None:
            version = origin.software_version
            if (known.service, known.software_version) != (
                origin.service,
                version,
            ):
                version = ''
            until_ms = max(known.until_ms, origin.until_ms)
            origin = Origin(origin.service, version, until_ms)
            del self.entries[stream]
        self.entries[stream] = origin
        bounded.drop_oldest(self.entries, self.limit)

    def take_over(self, told: messages.StreamOrigin, at_ms: int) -> None:
        """Keep what another process has told of a stream."""
        kept_ms = max(1, min(told.for_ms, MAX_KEPT_MS))
        origin = Origin(told.service, told.software_version, at_ms + kept_ms)
        self.record(told.stream, origin, at_ms)

    def get(self, stream: bytes, at_ms: int) -> Origin | None:
        """Return the origin of a stream, None if it is not kept."""
        origin = self.entries.get(stream)
        if origin is None or at_ms < origin.until_ms:
            return origin
        del self.entries[stream]
        return None

    def drop_expired(self, at_ms: int) -> bool:
        """Drop the origins whose time is over, if it is due; tell whether."""
        if at_ms - self.swept_ms < SWEEP_MS:
            return False
        self.swept_ms = at_ms
        expired = [
            stream
            for stream, origin in self.entries.items()
            if at_ms >= origin.until_ms
        ]
        for stream in expired:
            del self.entries[stream]
        return True
