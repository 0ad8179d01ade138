"""Decide whether what arrived is the head of an answer in HTTP.

Everything that reads answers relies on this: the HTTP library takes heads for
valid that HTTP does not allow. Sources: RFC 9110 and RFC 9112.
"""

import collections.abc
import re

from aiohttp import http_parser
import multidict

from berylhollow import messages
from berylhollow.util import texts

INTERIM_STATUSES = range(100, 200)
STATUSES = range(100, 600)
"""RFC 9110, section 15: other values are invalid."""

SWITCHING_PROTOCOLS = 101
"""Only sent to a client that asks for another protocol. Nothing here does."""

STATUS_LINE = re.compile(
    rb'HTTP/1\.[01] [0-9]{3}(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n'
)
"""RFC 9112, section 4. A reason may be left out with the blank before it."""

MAX_STATUS_LINE_BYTES = 8 * 1024
LINE_ENDS = b'\r\n'
"""Skipped before a head, as the parser does."""

BLANK_LINE = re.compile(rb'\r?\n\r?\n')
TAIL_BYTES = 3
"""A blank line may begin this far before its last byte."""

FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
"""A token: RFC 9110, section 5.1."""

CONTROL_CHARACTER = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
"""What no value may have: RFC 9110, section 5.5."""

TRANSFER_ENCODING = 'Transfer-Encoding'
CHUNKED = 'chunked'
UNDERSTOOD_CODINGS = frozenset({CHUNKED, 'identity'})
"""Identity, which RFC 2616 has and later ones have not, changes nothing."""

HTTP_1_1 = (1, 1)
MAX_SHOWN = 80
"""Characters or bytes of what is wrong that a reason shows."""


class ReceivedHeads:
    """Judges the heads of the responses to one request.

    The parser doesn't tell all that was received: it also takes other
    protocols than HTTP, for example. ``start`` is how the next head starts,
    ``data`` what was received last and ``tail`` the bytes before that, without
    what belongs to earlier heads. No more is kept: a head may never end.
    """

    def __init__(self):
        self.start = b''
        self.tail = b''
        self.data = b''

    def add(self, data: bytes) -> None:
        """Add bytes, before they are parsed."""
        if self.start:
            self.tail = (self.tail + self.data[-TAIL_BYTES:])[-TAIL_BYTES:]
            self.data = data
        else:
            self.tail = b''
            self.data = data.lstrip(LINE_ENDS)
        self.start += self.data[: MAX_STATUS_LINE_BYTES - len(self.start)]

    def take(self, message: http_parser.RawResponseMessage) -> str:
        """Return what is wrong with the next head, '' if nothing.

        ``message`` is what it was parsed to.
        """
        line = STATUS_LINE.match(self.start)
        if line is None:
            shown = self.start[:MAX_SHOWN].partition(b'\n')[0]
            return f'invalid status line {shown!r}'
        if self.start[line.end() : line.end() + 1] in (b' ', b'\t'):
            return 'blank before the first field'
        if message.code in INTERIM_STATUSES:
            self._begin_next()
        else:
            self.start = self.tail = self.data = b''
        return (
            _status_fault(message.code)
            or _fields_fault(message.headers.items())
            or _coding_fault(message)
        )

    def _begin_next(self) -> None:
        """Begin the head that follows the one that was parsed last."""
        received = self.tail + self.data
        end = BLANK_LINE.search(received).end()
        self.start = b''
        self.add(received[end:])


def relayed_fault(status: int, headers: tuple[messages.Header, ...]) -> str:
    """Return why an answer can't be passed on, '' if it can.

    For heads that another process has read: it may run a version that checks
    less.
    """
    if status in INTERIM_STATUSES:
        return f'status {status} is not final'
    return _status_fault(status) or _fields_fault(
        (header.name, header.value) for header in headers
    )


def is_chunked(fields: collections.abc.Mapping[str, str]) -> bool:
    """Return whether a body comes in chunks, by the fields of its head."""
    return _transfer_coding(fields.get(TRANSFER_ENCODING, '')) == CHUNKED


def with_text_values(
    message: http_parser.RawResponseMessage,
) -> http_parser.RawResponseMessage:
    """Return a head whose values can be written and sent over links.

    The parser decodes bytes that are not UTF-8 to lone surrogates. Such a
    value is read as ISO-8859-1, as in earlier versions of HTTP (RFC 9110,
    section 5.5).
    """
    if all(map(texts.is_encodable, message.headers.values())):
        return message
    headers = multidict.CIMultiDict(
        (name, _text(value)) for name, value in message.headers.items()
    )
    return http_parser.RawResponseMessage(
        message.version,
        message.code,
        message.reason,
        multidict.CIMultiDictProxy(headers),
        message.raw_headers,
        message.should_close,
        message.compression,
        message.upgrade,
        message.chunked,
    )


def _text(value: str) -> str:
    if texts.is_encodable(value):
        return value
    return value.encode(errors='surrogateescape').decode('iso-8859-1')


def _status_fault(status: int) -> str:
    if status not in STATUSES:
        return f'status {status:03} is outside 100 to 599'
    if status == SWITCHING_PROTOCOLS:
        return 'status 101 without a request for another protocol'
    return ''


def _fields_fault(fields: collections.abc.Iterable[tuple[str, str]]) -> str:
    for name, value in fields:
        if not FIELD_NAME.fullmatch(name):
            return f'invalid field name {name[:MAX_SHOWN]!a}'
        if CONTROL_CHARACTER.search(value):
            return f'control character in the value of {name[:MAX_SHOWN]}'
    return ''


def _coding_fault(message: http_parser.RawResponseMessage) -> str:
    """Return why a body can't be decoded, '' if it can.

    An endpoint may only use codings that the request says are understood.
    HTTP/1.0 has none: the framing of such a body counts as faulty (RFC 9112,
    sections 6.1 and 7.4).
    """
    values = message.headers.getall(TRANSFER_ENCODING, ())
    if not values:
        return ''
    if message.version < HTTP_1_1:
        return 'transfer coding in HTTP/1.0'
    if len(values) > 1 or _transfer_coding(values[0]) not in (
        UNDERSTOOD_CODINGS
    ):
        return f'transfer coding {", ".join(values)[:MAX_SHOWN]!a}'
    return ''


def _transfer_coding(value: str) -> str:
    return value.strip(' \t').lower()
