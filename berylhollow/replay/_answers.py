"""What endpoints answer in the world, and what a whole answer must be.

An answer is made of the request's own body, so that a byte of another's
answer, a missing or a doubled one shows.
"""

from berylhollow import events

IDENTITY_BYTES = 24
CRASH_MARK = b'crash-this-engine'


def identity(body: bytes) -> bytes:
    """Return what an answer repeats of its request."""
    return body[:IDENTITY_BYTES]


def token(body: bytes, index: int) -> bytes:
    """Return the text of one token."""
    return b'%b %d;' % (identity(body), index)


def tokens(body: bytes, count: int) -> bytes:
    """Return the text of the last ``count`` tokens of a lean answer."""
    return b'%b *%d;' % (identity(body), count)


def of_service(body: bytes) -> bytes:
    """Return the answer of a plain service."""
    return b'done %b' % identity(body)


def whole(request: events.Request) -> bytes:
    """Return the whole answer that a request must get."""
    if request.adapter is None:
        return of_service(request.body)
    count = max(1, request.output_tokens)
    return b''.join(token(request.body, index) for index in range(count))
