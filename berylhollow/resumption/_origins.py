"""Which software version began a stream, as a bounded table.

Callers choose the ids of their requests. Two streams under one id can't be
told apart, so that their origin counts as unknown.
"""

import dataclasses
import hashlib

from berylhollow.util import bounded

KEY_BYTES = 16
MAX_ORIGINS = 20_000
"""Streams that one process keeps: those of two minutes at a hundred and fifty
a second, in about 6 MB."""


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


def stream_key(workspace: str, request_id: str) -> bytes:
    """Return the key of a stream, from the id of its first request.

    Callers of different workspaces may use the same id; ``workspace`` is
    empty without one.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for text in (workspace, request_id):
        data = text.encode(errors='surrogateescape')
        digest.update(b'%d:' % len(data))
        digest.update(data)
    return digest.digest()


class Origins:
    """Origins of streams by key; the oldest are dropped beyond a limit."""

    def __init__(self, limit: int = MAX_ORIGINS):
        self.limit = limit
        self.entries: dict[bytes, Origin] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def record(self, stream: bytes, origin: Origin, at_ms: int) -> Origin:
        """Keep the origin of a stream and return what is kept of it now."""
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
        return origin

    def get(self, stream: bytes, at_ms: int) -> Origin | None:
        """Return the origin of a stream, None if it is not kept."""
        origin = self.entries.get(stream)
        if origin is None or at_ms < origin.until_ms:
            return origin
        del self.entries[stream]
        return None

    def drop_expired(self, at_ms: int) -> None:
        """Drop the origins whose time is over."""
        expired = [
            stream
            for stream, origin in self.entries.items()
            if at_ms >= origin.until_ms
        ]
        for stream in expired:
            del self.entries[stream]
