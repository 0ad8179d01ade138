"""Client of the platform's metadata store, which serves logs of records."""

import base64
import json
import struct

import aiohttp

from berylhollow import clock
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.platform import _records
from berylhollow.util import hedging

CALL_TIMEOUT_MS = 1000
"""A healthy store answers within milliseconds."""

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
GONE_STATUS = 410
MAX_PAGES = 100
PAGE_KB = 1024


class StoreClient:
    """Reads and appends records in the first partition of a topic.

    Implements the log that ``shell.PlatformCalls`` uses, and raises
    subclasses of ``outgoing.CallError``. A read that does not wait for new
    records is hedged: it is sent again after ``hedge_ms`` or if its
    connection breaks. This is done only while ``is_healthy``, that is, if
    the last such read succeeded. ``era`` is the newest store era seen in a
    response; responses of an earlier era are late and are discarded.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession | None = None,
        hedge_ms: int = HEDGE_MS,
        time: clock.Clock | None = None,
    ):
        self.url = f'http://{address}/v1'
        self.session = session or outgoing.open_session()
        self.hedge_ms = hedge_ms
        self.time = time or clock.MonotonicClock()
        self.is_healthy = True
        self.era = 0

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key, read page by page."""
        entries: list[messages.LogEntry] = []
        first_end: int | None = None
        eras = set()
        params = {'Topic': stream, 'part': PARTITION}
        for _ in range(MAX_PAGES):
            data, era = await self._get('log-newest', params)
            page = json.loads(data)
            eras.add(era)
            # The pages are not one snapshot. Reading on from the end of the
            # first page covers what has changed since.
            first_end = page['End'] if first_end is None else first_end
            for item in page['items']:
                data = _records.encode_keyed(
                    item['Key'], base64.b64decode(item['Value'])
                )
                entries.append(messages.LogEntry(int(item['Offset']), 0, data))
            if not page.get('HasMore'):
                break
            params['after'] = page['items'][-1]['Key']
        if len(eras) > 1:
            raise outgoing.CallNotSent(
                'the store era changed between two pages'
            )
        return log_service.ReadResult(
            tuple(entries), 0, first_end or 0, eras.pop()
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
            data, era = await self._request(
                'log-read', params, wait_ms + WAIT_MARGIN_MS
            )
        else:
            data, era = await self._get('log-read', params)
        return _decode_page(data, from_offset, era)

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
        if response.status != 200:
            raise outgoing.CallOutcomeUnknown(f'HTTP {response.status}')
        return int(json.loads(body)['Offset'])

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _get(self, call: str, params: dict) -> tuple[bytes, int]:
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

    async def _request_hedged(
        self, call: str, params: dict
    ) -> tuple[bytes, int]:
        deadline_ms = self.time.now_ms() + CALL_TIMEOUT_MS
        return await hedging.first_answer(
            lambda: self._request(
                call, params, deadline_ms - self.time.now_ms()
            ),
            self.hedge_ms / clock.MS_PER_SECOND,
            (outgoing.CallOutcomeUnknown,),
        )

    async def _request(
        self, call: str, params: dict, timeout_ms: int
    ) -> tuple[bytes, int]:
        """Send a GET request and return the body and the store era."""
        response = await outgoing.open_call(
            self.session,
            'GET',
            f'{self.url}/{call}',
            timeout_ms,
            params=params,
        )
        async with response:
            body = await outgoing.read_body(response)
        era = self._check_era(response.headers.get(ERA_HEADER, '0'))
        if response.status == GONE_STATUS:
            detail = {'first_offset': json.loads(body)['First']}
            raise log_service.OffsetGone(
                outgoing.CallRefused('offset_gone', GONE_STATUS, detail)
            )
        if response.status != 200:
            raise outgoing.CallNotSent(f'HTTP {response.status}')
        return body, era

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


def _decode_page(
    data: bytes, from_offset: int, era: int
) -> log_service.ReadResult:
    """Decode a page of records; a truncated last record is ignored."""
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
        tuple(entries), first_offset, offset, era, offset >= end
    )
