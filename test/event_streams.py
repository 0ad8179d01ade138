"""Event streams for tests: whole ones, and ones that end inside an event."""

EVENT = b'id: 1\ndata: a\n\n'

WHOLE = {
    'LF': EVENT + b'id: 2\ndata: b\n\n',
    'CRLF': b'id: 1\r\ndata: a\r\n\r\n',
    'CR': b'id: 1\rdata: a\r\r',
    'mixed': b'id: 1\r\ndata: a\n\r\n',
    'more blank lines': EVENT + b'\n\n',
    'a comment after the last event': EVENT + b': end\n',
    'a comment and a blank line after the last event': EVENT + b': end\n\n',
    'only comments': b': waiting\n: waiting\n',
    'done': EVENT + b'data: [DONE]\n\n',
}

CUT = {
    'inside data': EVENT + b'id: 2\ndata: half of',
    'inside the name of a field': EVENT + b'id: 2\nda',
    'after a field': EVENT + b'id: 2\n',
    'after one line end': EVENT + b'id: 2\ndata: b\n',
    'inside the last CRLF': b'data: a\r\n\r\ndata: b\r\n\r',
    'inside a character': EVENT + 'data: ä'.encode()[:-1],
    'inside the first event': b'id: 1\ndata: a',
    'inside a comment': EVENT + b': wai',
    'after a comment inside an event': EVENT + b'data: b\n: waiting\n',
}

HEAD = b'Request-Id: id-1\r\nServer-Seal: s\r\nContent-Type: text/event-stream'


def answers(stream: bytes) -> dict[str, bytes]:
    """Return an answer with ``stream`` as its body, for each framing."""
    length = f'Content-Length: {len(stream)}'.encode()
    chunks = b'%x\r\n%b\r\n' % (len(stream), stream) if stream else b''
    return {
        'no length': b'HTTP/1.1 200 OK\r\n' + HEAD + b'\r\n\r\n' + stream,
        'HTTP/1.0': b'HTTP/1.0 200 OK\r\n' + HEAD + b'\r\n\r\n' + stream,
        'length': b'HTTP/1.1 200 OK\r\n%b\r\n%b\r\n\r\n%b'
        % (HEAD, length, stream),
        'chunks': b'HTTP/1.1 200 OK\r\n%b\r\nTransfer-Encoding: chunked'
        b'\r\n\r\n%b' % (HEAD, chunks + b'0\r\n\r\n'),
    }


def framed(streams: dict[str, bytes]):
    """Yield the name of a stream and of a framing, and the answer."""
    for name, stream in streams.items():
        for framing, answer in answers(stream).items():
            yield name, framing, answer
