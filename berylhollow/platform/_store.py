"""Client of the platform's metadata store, a log of records."""

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
"""A store that is well answers in some milliseconds."""

HEDGE_MS = 300
"""A read that takes longer is made once more. Guards against a connection
that has gone silent without an error, while new ones work: a gateway that
waits for it takes that for an outage of the store, holds back what has left
the list, and sends there for two seconds more."""

WAIT_MARGIN_MS = 400
"""What a read that waits may take beyond its wait."""

LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
KEYED_PREFIX = 'keyed.'
PARTITION = '0'
ERA = 'Store-Era'
GONE = 410
MOST_PAGES = 100
PAGE_KB = 1024


class StoreClient:
    """Read and append records of the first partition of a topic.

    Implements what ``shell.PlatformCalls`` needs of a log. Raises the kinds
    of ``outgoing.CallError``. A read that does not wait for news is made
    again after ``hedge_ms``, or if its connection breaks; only while the
    store is ``well``, as far as the last such read showed. ``era`` is the
    newest that an answer bore; one of an earlier era is late and not used.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession | None = None,
        hedge_ms: int = HEDGE_MS,
    ):
        self.url = f'http://{address}/v1'
        self.session = session or outgoing.open_session()
        self.hedge_ms = hedge_ms
        self.well = True
        self.era = 0

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key, page by page."""
        entries: list[messages.LogEntry] = []
        first_end: int | None = None
        eras = set()
        params = {'Topic': stream, 'part': PARTITION}
        for _ in range(MOST_PAGES):
            data, era = await self._get('log-newest', params)
            page = json.loads(data)
            eras.add(era)
            # Pages are no snapshot: what changed since the first of them is
            # read again from where that one ended.
            first_end = page['End'] if first_end is None else first_end
            for item in page['items']:
                data = _records.join(
                    item['Key'], base64.b64decode(item['Value'])
                )
                entries.append(messages.LogEntry(int(item['Offset']), 0, data))
            if not page.get('HasMore'):
                break
            params['after'] = page['items'][-1]['Key']
        if len(eras) > 1:
            raise outgoing.NotDone('the store came back between two pages')
        return log_service.ReadResult(
            tuple(entries), 0, first_end or 0, eras.pop()
        )

    async def read(
        self, stream: str, from_offset: int, wait_ms: int = 0
    ) -> log_service.ReadResult:
        """Return the records from an offset on, waiting for the first.

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
            data, era = await self._ask(
                'log-read', params, wait_ms + WAIT_MARGIN_MS
            )
        else:
            data, era = await self._get('log-read', params)
        return _decode(data, from_offset, era)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        response = await outgoing.open_call(
            self.session,
            'POST',
            f'{self.url}/log-append',
            CALL_TIMEOUT_MS,
            params={'Topic': stream, 'part': PARTITION},
            data=LENGTH.pack(len(data)) + data,
        )
        async with response:
            body = await outgoing.read_body(response)
        if response.status in (429, 503, 507):
            raise outgoing.NotDone(f'HTTP {response.status}')
        if response.status != 200:
            raise outgoing.MaybeDone(f'HTTP {response.status}')
        return int(json.loads(body)['Offset'])

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def _get(self, call: str, params: dict) -> tuple[bytes, int]:
        try:
            if self.well:
                answer = await self._ask_twice(call, params)
            else:
                answer = await self._ask(call, params, CALL_TIMEOUT_MS)
        except (outgoing.NotDone, outgoing.MaybeDone):
            self.well = False
            raise
        self.well = True
        return answer

    async def _ask_twice(self, call: str, params: dict) -> tuple[bytes, int]:
        time = clock.MonotonicClock()
        ends_ms = time.now_ms() + CALL_TIMEOUT_MS
        return await hedging.first_answer(
            lambda: self._ask(call, params, ends_ms - time.now_ms()),
            self.hedge_ms / clock.MS_PER_SECOND,
            (outgoing.MaybeDone,),
        )

    async def _ask(
        self, call: str, params: dict, timeout_ms: int
    ) -> tuple[bytes, int]:
        """Return the body of an answer and its era."""
        response = await outgoing.open_call(
            self.session,
            'GET',
            f'{self.url}/{call}',
            timeout_ms,
            params=params,
        )
        async with response:
            body = await outgoing.read_body(response)
        era = self._note_era(response.headers.get(ERA, '0'))
        if response.status == GONE:
            detail = {'first_offset': json.loads(body)['First']}
            raise log_service.OffsetGone(
                outgoing.Refused('offset_gone', GONE, detail)
            )
        if response.status != 200:
            raise outgoing.NotDone(f'HTTP {response.status}')
        return body, era

    def _note_era(self, text: str) -> int:
        if not (text.isascii() and text.isdecimal()):
            raise outgoing.MaybeDone('the era of an answer is no number')
        era = int(text)
        if era < self.era:
            raise outgoing.NotDone('an answer of an earlier era')
        self.era = era
        return era


def _decode(data: bytes, from_offset: int, era: int) -> log_service.ReadResult:
    """Return the records of an answer; those cut off at its end are left."""
    if len(data) < BOUNDS.size:
        raise outgoing.MaybeDone('the answer has no bounds')
    end, first_offset = BOUNDS.unpack_from(data)
    entries = []
    offset = from_offset
    at = BOUNDS.size
    while at + LENGTH.size <= len(data):
        (length,) = LENGTH.unpack_from(data, at)
        at += LENGTH.size
        if at + length > len(data):
            break
        record = data[at : at + length]
        entries.append(messages.LogEntry(offset, 0, record))
        at += length
        offset += 1
    return log_service.ReadResult(
        tuple(entries), first_offset, offset, era, offset >= end
    )
