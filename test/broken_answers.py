"""Answers of endpoints that break HTTP in one place, for tests of readers."""

import random

OWN = b'Request-Id: id-1\r\nServer-Seal: s\r\n'
BODY = b'whole'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
LENGTH = b'Content-Length: %d\r\n' % len(BODY)


def answer(
    start: bytes = b'HTTP/1.1 200 OK', fields: bytes = b'', end: bytes = LENGTH
) -> bytes:
    """Return an answer to the request ``id-1``; it breaks nothing itself.

    ``start`` is the status line without its line end, ``fields`` are further
    field lines, ``end`` are those that show where the body ends.
    """
    return start + b'\r\n' + OWN + fields + end + b'\r\n' + BODY


INVALID_STATUSES = {
    f'status {status.decode()}': answer(b'HTTP/1.1 %b Trouble' % status)
    for status in (b'000', b'001', b'099', b'600', b'601', b'999')
}

SWITCHING_PROTOCOLS = {
    '101': answer(b'HTTP/1.1 101 Switching Protocols'),
    '101 with Upgrade': answer(
        b'HTTP/1.1 101 Switching Protocols',
        b'Connection: upgrade\r\nUpgrade: websocket\r\n',
        b'',
    ),
    '101 before an answer': b'HTTP/1.1 101 Switching Protocols\r\n\r\n'
    + answer(),
    '101 after an interim response': INTERIM
    + answer(b'HTTP/1.1 101 Switching Protocols'),
}
"""No call here asks for another protocol."""

INVALID_STARTS = {
    'another protocol': answer(b'RTSP/1.0 200 OK'),
    'another protocol with our version': answer(b'RTSP/1.1 200 OK'),
    'another protocol after an interim response': INTERIM
    + answer(b'ICE/1.0 200 OK'),
    'interim response of another protocol': answer(b'ICE/1.1 100 OK')
    + answer(),
    'HTTP/2.0': answer(b'HTTP/2.0 200 OK'),
    'HTTP/0.9': answer(b'HTTP/0.9 200 OK'),
    'control byte in the reason': answer(b'HTTP/1.1 200 O\x01K'),
    'NUL in the reason': answer(b'HTTP/1.1 200 O\x00K'),
    'DEL in the reason': answer(b'HTTP/1.1 200 O\x7fK'),
    'blank before the first field': answer(b'HTTP/1.1 200 OK\r\n A: b'),
    'tab before the first field': answer(b'HTTP/1.1 200 OK\r\n\tA: b'),
    'HTTP/1.9': answer(b'HTTP/1.9 200 OK'),
    'lower case': answer(b'http/1.1 200 OK'),
    'no protocol': answer(b'ICY 200 OK'),
    'two blanks': answer(b'HTTP/1.1  200 OK'),
    'tab': answer(b'HTTP/1.1\t200 OK'),
    'status of 2 digits': answer(b'HTTP/1.1 20 OK'),
    'status of 4 digits': answer(b'HTTP/1.1 2000 OK'),
    'signed status': answer(b'HTTP/1.1 +20 OK'),
    'status with a letter': answer(b'HTTP/1.1 20x OK'),
    'no status': answer(b'HTTP/1.1'),
}

CHUNKED_BODY = b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)


def chunked(field: bytes = b'Transfer-Encoding: chunked\r\n') -> bytes:
    """Return an answer in chunks; ``field`` is the line that says so."""
    return answer(end=field).removesuffix(BODY) + CHUNKED_BODY


INVALID_NAME_LINES = {
    'blank in it': b'X Y: z',
    'blank before the colon': b'X : z',
    'tab': b'X\tY: z',
    'tab before the colon': b'X\t: z',
    'control byte': b'X\x01Y: z',
    'NUL': b'X\x00Y: z',
    'DEL': b'X\x7fY: z',
    'CR': b'X\rY: z',
    'LF': b'X\nY: z',
    'byte over 0x7f': b'X\xe9Y: z',
    'quotes': b'"X": z',
    'brackets': b'(X): z',
    'slash': b'X/Y: z',
    'empty': b': z',
    'no colon': b'X',
    'Connection with a blank before the colon': b'Connection : x',
    'Connection with a blank in it': b'Connection x: y',
    'Upgrade with a blank before the colon': b'Upgrade : x',
    'Proxy-Connection with a blank before the colon': b'Proxy-Connection : x',
}

INVALID_NAMES = {
    f'{name}, {start.decode()}': answer(start, line + b'\r\n')
    for name, line in INVALID_NAME_LINES.items()
    for start in (b'HTTP/1.1 200 OK', b'HTTP/1.1 404 No')
} | {
    'length with a blank before the colon': answer(
        end=b'Content-Length : %d\r\n' % len(BODY)
    ),
    'length with a blank in it': answer(
        end=b'Content-Length x: %d\r\n' % len(BODY)
    ),
    'chunks with a blank before the colon': chunked(
        b'Transfer-Encoding : chunked\r\n'
    ),
    'in a failure': answer(b'HTTP/1.1 500 No', b'Upgrade : x\r\n'),
    'in a refusal': answer(
        b'HTTP/1.1 503 Busy', b'Upgrade : x\r\nNot-Executed: 1\r\n'
    ),
    'in an interim response': INTERIM[:-2] + b'Upgrade : x\r\n\r\n' + answer(),
    'in a trailer': chunked()[:-2] + b'X Y: z\r\n\r\n',
}

CONTROL_CHARACTERS = b'\x01\x08\x0b\x0c\x0e\x1b\x1f\x7f'

INVALID_VALUES = {
    f'0x{code:02x}': answer(fields=b'X: a%cb\r\n' % code)
    for code in CONTROL_CHARACTERS
} | {
    'NUL': answer(fields=b'X: a\x00b\r\n'),
    'CR': answer(fields=b'X: a\rb\r\n'),
    'at the start': answer(fields=b'X: \x01b\r\n'),
    'at the end': answer(fields=b'X: b\x01\r\n'),
    'in a folded line': answer(fields=b'X: a\r\n b\x01\r\n'),
    'in the type': answer(fields=b'Content-Type: text/plain\x01\r\n'),
    'in a cookie': answer(fields=b'Set-Cookie: a=b\x01\r\n'),
    'in a field of the connection': answer(
        fields=b'Keep-Alive: timeout=5\x01\r\n'
    ),
    'in a failure': answer(b'HTTP/1.1 500 No', b'X: a\x01b\r\n'),
    'in a refusal': answer(
        b'HTTP/1.1 503 Busy', b'X: a\x01b\r\nNot-Executed: 1\r\n'
    ),
    'in an interim response': INTERIM[:-2] + b'X: a\x01b\r\n\r\n' + answer(),
    'in a redirect': answer(b'HTTP/1.1 302 Found', b'Location: /\x01\r\n'),
}

CODED = b'Transfer-Encoding: %b\r\n'

INVALID_CODINGS = {
    coding.decode('latin-1'): chunked(CODED % coding)
    for coding in (
        b'gzip',
        b'gzip, chunked',
        b'chunked, gzip',
        b'chunked, chunked',
        b'chunked, identity',
        b'xchunked',
        b'chunked;a=b',
        b'"chunked"',
        b'chunked,',
        b'\xc2\xa0chunked',
        b'\xa0chunked',
        b'',
    )
} | {
    'chunked, in two fields': chunked(2 * (CODED % b'chunked')),
    'gzip and chunked, in two fields': chunked(
        CODED % b'gzip' + CODED % b'chunked'
    ),
    'chunked and gzip, in two fields': chunked(
        CODED % b'chunked' + CODED % b'gzip'
    ),
    'chunked in HTTP/1.0': chunked().replace(b'HTTP/1.1', b'HTTP/1.0'),
    'chunked beside a length': chunked(CODED % b'chunked' + LENGTH),
    'unknown beside a length': answer(end=CODED % b'x' + LENGTH),
    'empty beside a length': answer(end=CODED % b'' + LENGTH),
}
"""No call here says that it understands any coding but chunks."""

WHOLE = {
    'no reason': answer(b'HTTP/1.1 200'),
    'HTTP/1.0': answer(b'HTTP/1.0 200 OK'),
    'lowest final status': answer(b'HTTP/1.1 200 OK'),
    'unregistered status': answer(b'HTTP/1.1 299 Odd'),
    'highest status': answer(b'HTTP/1.1 599 Odd'),
    'bytes over 0x7f in the reason': answer(b'HTTP/1.1 200 \xe9\xc3\xa9'),
    'tab in the reason': answer(b'HTTP/1.1 200 a\tb'),
    'chunks': chunked(),
    'identity': answer(end=CODED % b'identity'),
    'chunks, in capitals': chunked(b'transfer-encoding:\t CHUNKED \r\n'),
    'tab in a value': answer(fields=b'X: a\tb\r\n'),
    'bytes over 0x7f in a value': answer(fields=b'X: \xe9\xc3\xa9\xff\r\n'),
    'folded value': answer(fields=b'X: a\r\n b\r\n'),
    'empty value': answer(fields=b'X:\r\n'),
    'every character of a name': answer(
        fields=b"!#$%&'*+-.^_`|~09AZaz: a\r\n"
    ),
    'empty line before the head': b'\r\n' + answer(),
    'bare LF': answer().replace(b'\r\n', b'\n'),
    'interim responses': INTERIM
    + b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    + answer(),
    'interim responses with bare LF': (INTERIM + INTERIM + answer()).replace(
        b'\r\n', b'\n'
    ),
}
"""Answers that are unusual, but break nothing."""

EVERY = tuple(
    raw
    for answers in (
        INVALID_STATUSES,
        SWITCHING_PROTOCOLS,
        INVALID_STARTS,
        INVALID_NAMES,
        INVALID_VALUES,
        INVALID_CODINGS,
        WHOLE,
    )
    for raw in answers.values()
)


def damaged(source: random.Random) -> bytes:
    """Return one of the answers, or two, with some bytes changed."""
    raw = bytearray(source.choice((b'', INTERIM)) + source.choice(EVERY))
    for _ in range(source.randrange(4)):
        at = source.randrange(len(raw))
        raw[at : at + source.randrange(2)] = source.choice(
            (b'\r', b'\n', b'\r\n\r\n', b' ', b':', b'\x00', b'0', INTERIM)
        )
    return bytes(raw)


ENDLESS_HEADS = tuple(
    (start, more * 1000)
    for start, more in (
        (b'', b'\r\n'),
        (b'HTTP/1.1 200 ', b'a'),
        (b'HTTP/1.1 ', b'2'),
        (b'HTTP/1.1 200 OK\r\n', b'a'),
        (b'HTTP/1.1 200 OK\r\n', b'X: a\r\n'),
        (b'HTTP/1.1 200 OK\r\nX:', b' '),
        (b'HTTP/1.1 200 OK\r\nX: ', b'a'),
        (b'HTTP/1.1 200 OK\r\nX: a', b'\r\n b'),
        (b'HTTP/1.1 200 OK\r\nX: a', b'\r\n '),
        (b'', INTERIM),
        (b'', b'\x00'),
    )
)
"""How a head starts and what follows without end."""

ENDLESS_BODIES = tuple(
    (start, more * 1000)
    for start, more in (
        (answer(end=b'Content-Length: %d\r\n' % 10**15), b'a'),
        (answer(end=b''), b'a'),
        (chunked()[: -len(b'0\r\n\r\n')], b'1\r\na\r\n'),
        (chunked()[: -len(b'0\r\n\r\n')], b'0'),
        (chunked()[: -len(b'0\r\n\r\n')] + b'1;a=', b'a'),
        (chunked()[: -len(b'\r\n')], b'X: a\r\n'),
        (answer(), b'a'),
        (answer(), answer()),
    )
)
"""How a body starts and what follows without end."""
