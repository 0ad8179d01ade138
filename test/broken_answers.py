"""Answers of endpoints that break HTTP in one place, for tests of readers."""

OWN = b'Request-Id: id-1\r\nServer-Seal: s\r\n'
BODY = b'whole'
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
    '101 after an interim response': b'HTTP/1.1 100 Continue\r\n\r\n'
    + answer(b'HTTP/1.1 101 Switching Protocols'),
}
"""No call here asks for another protocol."""

WHOLE = {
    'no reason': answer(b'HTTP/1.1 200'),
    'HTTP/1.0': answer(b'HTTP/1.0 200 OK'),
    'lowest final status': answer(b'HTTP/1.1 200 OK'),
    'unregistered status': answer(b'HTTP/1.1 299 Odd'),
    'highest status': answer(b'HTTP/1.1 599 Odd'),
    'interim responses': b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' + answer(),
}
"""Answers that are unusual, but break nothing."""
