"""Client of the platform's metadata store, which serves logs of records."""

import base64
import dataclasses
import logging
import struct

import aiohttp

from berylhollow import clock
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.platform import _fields
from berylhollow.platform import _records
from berylhollow import routes
from berylhollow.util import hedging
from berylhollow.util import shared_task

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1000
"""Longest time without a byte of the answer; a healthy store begins to answer
within milliseconds."""

TRANSFER_TIMEOUT_MS = 10_000
"""Longest time for a whole answer. A page of four records of 1 MiB takes seven
seconds over a link of 5 Mbit/s."""

LARGE_ANSWER_BYTES = 32 * 1024
"""An answer of this size or more is received once at a time: two copies would
halve the rate of each on a slow link."""

HEDGE_MS = 300
"""A read that takes longer is sent a second time.

Guards against a connection that went silent without an error while new ones
work. A gateway that kept waiting would take this for an outage of the store,
hold back removals from the instance list, and send requests to endpoints that
have left for two more seconds."""

WAIT_MARGIN_MS = 400
"""Time that a long-polling read may take beyond its wait."""

RECORD_LENGTH = struct.Struct('>I')
PAGE_HEADER = struct.Struct('>QQ')
KEYED_PREFIX = 'keyed.'
PARTITION = '0'
ERA_HEADER = 'Store-Era'
OK_STATUS = 200
GONE_STATUS = 410
RECORD_PARAMETERS = ('Topic', 'part', 'From', 'after')
"""The parameters that decide which records an answer has."""

MAX_PAGES = 100
PAGE_KB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _NewestPage:
    """A page of the newest record of each key.

    ``last_key`` is the one to continue after, None on the last page.
    """

    end: int
    entries: tuple[messages.LogEntry, ...]
    last_key: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The body of an answer to a call that was sent at ``begun_ms``."""

    body: bytes
    era: int
    begun_ms: int


class StoreClient:
    """Reads and appends records in the first partition of a topic.

    Implements the log that ``shell.PlatformCalls`` uses, and raises
    subclasses of ``outgoing.CallError``. A read that does not wait for new
    records is hedged: it is sent again after ``hedge_ms`` or if its
    connection breaks. This is done only while ``is_healthy``, that is, if
    the last such read succeeded. ``era`` is the newest store era seen in a
    response; responses of an earlier era are late and are discarded.

    While a large answer arrives, a read of the same records joins it instead
    of requesting them again; ``transfers`` has these answers.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession | None = None,
        hedge_ms: int = HEDGE_MS,
        time: clock.Clock | None = None,
    ):
        self.url = f'http://{address}/v1'
        self.time = time or clock.MonotonicClock()
        self.session = session or outgoing.open_session()
        self.hedge_ms = hedge_ms
        self.is_healthy = True
        self.era = 0
        self.transfers: dict[tuple, shared_task.SharedTask[_Answer]] = {}

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key, read page by page."""
        entries: list[messages.LogEntry] = []
        first_end: int | None = None
        begun_ms: int | None = None
        eras = set()
        params = {'Topic': stream, 'part': PARTITION}
        for _ in range(MAX_PAGES):
            answer = await self._get('log-newest', params)
            page = _decode_newest_page(answer.body)
            eras.add(answer.era)
            # The pages are not one snapshot. Reading on from the end of the
            # first page covers what has changed since.
            if first_end is None:
                first_end, begun_ms = page.end, answer.begun_ms
            entries += page.entries
            if page.last_key is None:
                break
            params['after'] = page.last_key
        if len(eras) > 1:
            raise outgoing.CallNotSent(
                'the store era changed between two pages'
            )
        return log_service.ReadResult(
            tuple(entries),
            0,
            first_end or 0,
            eras.pop(),
            begun_ms=begun_ms,
        )

    async def read(
        self, stream: str, from_offset: int, wait_ms: int = 0
    ) -> log_service.ReadResult:
        """Return the records from an offset on, waiting for the first one.

        Raises ``log_service.OffsetGone`` if they were deleted.
        """
        params = {
            'Topic': stream,
            'part': PARTITION,
            'From': str(from_offset),
            'MaxKb': str(PAGE_KB),
        }
        if wait_ms:
            params['WaitMs'] = str(wait_ms)
            answer = await self._request(
                'log-read', params, wait_ms + WAIT_MARGIN_MS
            )
        else:
            answer = await self._get('log-read', params)
        return _decode_page(answer, from_offset)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        response = await outgoing.open_call(
            self.session,
            'POST',
            f'{self.url}/log-append',
            CALL_TIMEOUT_MS,
            params={'Topic': stream, 'part': PARTITION},
            data=RECORD_LENGTH.pack(len(data)) + data,
        )
        async with response:
            body = await outgoing.read_body(response)
        if response.status in (429, 503, 507):
            raise outgoing.CallNotSent(f'HTTP {response.status}')
        if response.status != OK_STATUS:
            raise outgoing.CallOutcomeUnknown(f'HTTP {response.status}')
        return _parse_offset(body, 'Offset')

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _get(self, call: str, params: dict) -> _Answer:
        try:
            if self.is_healthy:
                answer = await self._request_hedged(call, params)
            else:
                answer = await self._request(call, params, CALL_TIMEOUT_MS)
        except (outgoing.CallNotSent, outgoing.CallOutcomeUnknown):
            self.is_healthy = False
            raise
        self.is_healthy = True
        return answer

    async def _request_hedged(self, call: str, params: dict) -> _Answer:
        deadline_ms = self.time.now_ms() + CALL_TIMEOUT_MS
        return await hedging.first_answer(
            lambda: self._request(
                call, params, max(1, deadline_ms - self.time.now_ms())
            ),
            self.hedge_ms / clock.MS_PER_SECOND,
            (outgoing.CallOutcomeUnknown,),
        )

    async def _request(
        self, call: str, params: dict, silence_ms: int
    ) -> _Answer:
        """Send a GET request, or join one whose large answer is arriving."""
        wanted = (call, *(params.get(name) for name in RECORD_PARAMETERS))
        if wanted in self.transfers:
            return await self.transfers[wanted].join()
        begun_ms = self.time.now_ms()
        response = await outgoing.open_call(
            self.session,
            'GET',
            f'{self.url}/{call}',
            TRANSFER_TIMEOUT_MS + silence_ms,
            silence_ms,
            params=params,
        )
        if not _is_large(response):
            return await self._receive(response, begun_ms)
        if wanted in self.transfers:
            response.close()
        else:
            self.transfers[wanted] = shared_task.SharedTask(
                self._receive(response, begun_ms),
                on_end=lambda: self.transfers.pop(wanted),
            )
        return await self.transfers[wanted].join()

    async def _receive(
        self, response: aiohttp.ClientResponse, begun_ms: int
    ) -> _Answer:
        """Receive the body of a response and check its status and era."""
        async with response:
            body = await outgoing.read_body(response)
        if len(body) >= LARGE_ANSWER_BYTES:
            fields = {
                'size_bytes': len(body),
                'duration_ms': self.time.now_ms() - begun_ms,
                'arriving': len(self.transfers),
            }
            LOG.info('large answer received', extra=fields)
        era = self._check_era(response.headers.get(ERA_HEADER, '0'))
        if response.status == GONE_STATUS:
            detail = {'first_offset': _parse_offset(body, 'First')}
            raise log_service.OffsetGone(
                outgoing.CallRefused('offset_gone', GONE_STATUS, detail)
            )
        if response.status != OK_STATUS:
            raise outgoing.CallNotSent(f'HTTP {response.status}')
        return _Answer(body, era, begun_ms)

    def _check_era(self, text: str) -> int:
        if not (text.isascii() and text.isdecimal()):
            raise outgoing.CallOutcomeUnknown('the store era is not a number')
        era = int(text)
        if era < self.era:
            raise outgoing.CallNotSent(
                'the response is from an earlier store era'
            )
        self.era = era
        return era


def _parse_offset(body: bytes, field: str) -> int:
    """Return a field of a JSON object that is an offset.

    Raises ``outgoing.CallOutcomeUnknown`` without one.
    """
    try:
        return _fields.integer(_fields.parse_object(body), field)
    except routes.MalformedRecordError as error:
        raise _malformed(error) from error


def _decode_newest_page(body: bytes) -> _NewestPage:
    """Decode a page of the newest records.

    Raises ``outgoing.CallOutcomeUnknown`` if it is none.
    """
    try:
        page = _fields.parse_object(body)
        if page.get('items') is None:
            raise routes.MalformedRecordError('a page without items')
        items = _fields.objects(page, 'items')
        entries = tuple(_decode_newest(item) for item in items)
        has_more = _fields.boolean(page, 'HasMore')
        if has_more and not items:
            raise routes.MalformedRecordError('an empty page is not the last')
        last_key = items[-1]['Key'] if has_more else None
        return _NewestPage(_fields.integer(page, 'End'), entries, last_key)
    except routes.MalformedRecordError as error:
        raise _malformed(error) from error


def _decode_newest(item: dict) -> messages.LogEntry:
    """Decode the newest record of a key; raises MalformedRecordError."""
    try:
        data = _records.encode_keyed(
            item['Key'], base64.b64decode(item['Value'])
        )
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        raise routes.MalformedRecordError(
            'an item is not a key with a value'
        ) from error
    return messages.LogEntry(_fields.integer(item, 'Offset'), 0, data)


def _malformed(
    error: routes.MalformedRecordError,
) -> outgoing.CallOutcomeUnknown:
    return outgoing.CallOutcomeUnknown(f'invalid answer: {error}')


def _is_large(response: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer is large; one without a length may be."""
    length = response.content_length
    return length is None or length >= LARGE_ANSWER_BYTES


def _decode_page(answer: _Answer, from_offset: int) -> log_service.ReadResult:
    """Decode a page of records; a truncated last record is ignored."""
    data = answer.body
    if len(data) < PAGE_HEADER.size:
        raise outgoing.CallOutcomeUnknown(
            'the response is shorter than its header'
        )
    end, first_offset = PAGE_HEADER.unpack_from(data)
    entries = []
    offset = from_offset
    position = PAGE_HEADER.size
    while position + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + length > len(data):
            break
        record = data[position : position + length]
        entries.append(messages.LogEntry(offset, 0, record))
        position += length
        offset += 1
    return log_service.ReadResult(
        tuple(entries),
        first_offset,
        offset,
        answer.era,
        offset >= end,
        begun_ms=answer.begun_ms,
    )
