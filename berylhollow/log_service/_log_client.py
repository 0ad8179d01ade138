"""Client of the platform's append-only log service."""

import base64
import urllib.parse

import aiohttp

from berylhollow.log_service import _types
from berylhollow import messages
from berylhollow import outgoing

APPEND_TIMEOUT_MS = 3000
READ_TIMEOUT_MS = 5000
"""Longest time without a byte of the answer, beyond the wait."""

TRANSFER_TIMEOUT_MS = 30_000
"""Longest time for a whole answer: 1000 large records over a slow link."""

READ_LIMIT = 1000
OFFSET_GONE = 'offset_gone'


class OffsetGone(outgoing.CallRefused):
    """The offset is no longer kept; ``first_offset`` is the first that is."""

    def __init__(self, refused: outgoing.CallRefused):
        super().__init__(refused.kind, refused.status, refused.detail)
        self.first_offset = int(refused.detail['first_offset'])


class LogClient:
    """Appends to and reads from streams of the log at ``url``."""

    def __init__(self, url: str, session: aiohttp.ClientSession | None = None):
        self.url = url.rstrip('/')
        self.session = session or outgoing.open_session()

    async def append(
        self, stream: str, data: bytes, timeout_ms: int = APPEND_TIMEOUT_MS
    ) -> int:
        """Append a record and return its offset.

        Raises ``outgoing.CallNotSent`` or ``CallRefused`` (kind
        ``unavailable`` or ``rate_limited``) if nothing was appended, and
        ``CallOutcomeUnknown`` if only a later read can show whether it was.
        """
        reply = await outgoing.call(
            self.session,
            'POST',
            self.records_url(stream),
            timeout_ms,
            data=data,
        )
        try:
            return int(reply.value()['offset'])
        except outgoing.SHAPE_ERRORS as error:
            raise outgoing.CallOutcomeUnknown(
                'the response has no offset'
            ) from error

    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int = READ_LIMIT,
        wait_ms: int = 0,
    ) -> _types.ReadResult:
        """Return up to ``limit`` records from an offset on.

        If there are none yet, wait up to ``wait_ms`` for the first. Raises
        ``OffsetGone`` and the subclasses of ``outgoing.CallError``.
        """
        params = {
            'from': str(from_offset),
            'limit': str(limit),
            'wait_ms': str(wait_ms),
        }
        try:
            reply = await outgoing.call(
                self.session,
                'GET',
                self.records_url(stream),
                TRANSFER_TIMEOUT_MS + wait_ms,
                silence_ms=READ_TIMEOUT_MS + wait_ms,
                params=params,
            )
        except outgoing.CallRefused as refused:
            if refused.kind == OFFSET_GONE:
                raise _offset_gone(refused) from refused
            raise
        try:
            return _read_result(reply.value())
        except outgoing.SHAPE_ERRORS as error:
            raise outgoing.CallOutcomeUnknown(
                'the response is not a page of records'
            ) from error

    def records_url(self, stream: str) -> str:
        name = urllib.parse.quote(stream, safe='')
        return f'{self.url}/log/streams/{name}/records'

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()


def _offset_gone(refused: outgoing.CallRefused) -> outgoing.CallError:
    try:
        return OffsetGone(refused)
    except outgoing.SHAPE_ERRORS:
        return outgoing.CallOutcomeUnknown(
            'the refusal has no first offset that is kept'
        )


def _read_result(value: dict) -> _types.ReadResult:
    records = tuple(
        messages.LogEntry(
            int(item['offset']),
            int(item['at_ms']),
            base64.b64decode(item['data'], validate=True),
        )
        for item in value['records']
    )
    return _types.ReadResult(
        records, int(value['first_offset']), int(value['next_offset'])
    )
