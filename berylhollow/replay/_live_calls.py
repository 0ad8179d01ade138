"""Calls of a live replay, and what an answer to each of them must be.

The stand-ins repeat who ran what for which request, so an answer of another
request, adapter or version shows, and so does a missing part.
"""

import dataclasses
import enum
import hashlib
import json

from berylhollow import errors
from berylhollow import messages
from berylhollow.replay import _trace

CHAT_PATH = '/v1/chat/completions'
SERVICES_PATH = '/v1/services'
DONE = '[DONE]'
DATA = 'data: '
EVENT_ERROR = 'event: error'
WHOLE_EVERY = 4
"""One in so many model requests asks for an answer that is not streamed."""

FILLER = 'word'
"""Makes up a prompt's length; the same for all requests of an adapter."""

MOST_FILLER = 10_000
NO_ANSWER = 'no_answer_in_time'
NOT_CONNECTED = 'not_connected'
CONNECTION_BROKEN = 'connection_broken'


class Verdict(enum.StrEnum):
    """What became of a request, as its caller sees it."""

    WHOLE = 'whole'
    """The whole answer to this request, from what it named."""
    ERROR = 'error'
    """An error that says so, or a connection that broke before the end."""
    WRONG = 'wrong'
    """Another's answer, or one of another adapter or version."""
    CUT_SHORT = 'cut_short'
    """An answer that ended as if it were whole and is not."""
    DOUBLED = 'doubled'
    """A second run of a key that may run once."""
    NOT_SENT = 'not_sent'
    """Too many were open already."""


FINDINGS = (Verdict.WRONG, Verdict.CUT_SHORT, Verdict.DOUBLED)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call; ``expected`` is the text that a model must answer."""

    item: _trace.TraceRequest
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool = False
    expected: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What came back: ``ended`` if the answer ended as HTTP says it must.

    ``status`` is 0 if no head came; ``error`` then says why.
    """

    status: int = 0
    body: bytes = b''
    ended: bool = False
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict with its error kind, whether it ran, and which run it was."""

    verdict: Verdict
    kind: str = ''
    ran: str = ''
    run: str = ''


def make(item: _trace.TraceRequest, number: int, run_id: str) -> Call:
    """Return the call of a trace's request.

    ``run_id`` sets the calls of this replay apart from those of another one:
    a key that ran an hour ago would be answered from what was kept.
    """
    # A resend of a key must be the same request, byte for byte.
    name = f'{run_id}-{item.key or number}'
    headers = {
        'Content-Type': 'application/json',
        'X-Caller': item.caller,
        'X-Deadline-Ms': str(max(1, item.deadline_ms)),
        'X-Priority': str(min(9, max(0, item.priority))),
    }
    if item.key is not None:
        headers['Idempotency-Key'] = f'{run_id}-{item.key}'
    if not item.adapter:
        path = f'{SERVICES_PATH}/{item.service}/orders/{name}'
        body = json.dumps({'order': name}).encode()
        return Call(item, path, headers, body)
    stream = number % WHOLE_EVERY != WHOLE_EVERY - 1
    return _model_call(item, name, headers, stream)


def _model_call(
    item: _trace.TraceRequest, name: str, headers: dict, stream: bool
) -> Call:
    model = f'{item.adapter}@{item.version}'
    count = max(1, item.output_tokens)
    filler = min(MOST_FILLER, max(1, item.prompt_tokens - 1))
    chat = [
        {'role': 'system', 'content': ' '.join([model] + [FILLER] * filler)},
        {'role': 'user', 'content': name},
    ]
    value = {
        'model': model,
        'stream': stream,
        'max_tokens': count,
        'messages': chat,
    }
    expected = f'[{model}] {name}' + ''.join(f' {i}' for i in range(1, count))
    body = json.dumps(value).encode()
    return Call(item, CHAT_PATH, headers, body, stream, expected)


def judge(call: Call, received: Received) -> Judgement:
    """Return what an answer is worth to its caller."""
    if received.error == NOT_CONNECTED:
        return Judgement(
            Verdict.ERROR, NOT_CONNECTED, errors.Ran.NOT_RUN.value
        )
    if not received.status:
        return _broken(received)
    if received.status not in messages.SUCCESS_STATUSES:
        return _refusal(received)
    if not call.item.adapter:
        return _service(call, received)
    if call.stream:
        return _stream(call, received)
    return _completion(call, received)


def _refusal(received: Received) -> Judgement:
    value = _json(received.body)
    kind = value.get('kind')
    if not received.ended or not isinstance(kind, str):
        return Judgement(
            Verdict.ERROR, f'http_{received.status}', errors.Ran.UNKNOWN.value
        )
    return Judgement(Verdict.ERROR, kind, str(value.get('ran')))


def _broken(received: Received) -> Judgement:
    kind = received.error or errors.Kind.STREAM_BROKEN.value
    return Judgement(Verdict.ERROR, kind, errors.Ran.UNKNOWN.value)


def _service(call: Call, received: Received) -> Judgement:
    if not received.ended:
        return _broken(received)
    value = _json(received.body)
    if not value:
        return Judgement(Verdict.CUT_SHORT)
    digest = hashlib.sha256(call.body).hexdigest()
    own_path = call.path.removeprefix(f'{SERVICES_PATH}/{call.item.service}')
    own = (
        value.get('body_digest') == digest
        and value.get('path') == own_path
        and value.get('key') == call.headers.get('Idempotency-Key', '')
    )
    if not own:
        return Judgement(Verdict.WRONG)
    return Judgement(Verdict.WHOLE, run=str(value.get('request')))


def _completion(call: Call, received: Received) -> Judgement:
    if not received.ended:
        return _broken(received)
    value = _json(received.body)
    if not value:
        return Judgement(Verdict.CUT_SHORT)
    choice = (value.get('choices') or [{}])[0]
    text = choice.get('message', {}).get('content', '')
    named = value.get('model') == f'{call.item.adapter}@{call.item.version}'
    return _text(call, text, named, str(value.get('id')))


def _stream(call: Call, received: Received) -> Judgement:
    """Judge an event stream: its texts, its names, its end or its error."""
    texts: list[str] = []
    models: set[str] = set()
    runs: set[str] = set()
    done = False
    for event in received.body.decode(errors='replace').split('\n\n'):
        if event.startswith(EVENT_ERROR):
            return _error_event(event)
        if not event.startswith(DATA):
            continue
        data = event.removeprefix(DATA)
        if data == DONE:
            done = True
            continue
        value = _json(data.encode())
        models.add(str(value.get('model')))
        runs.add(str(value.get('id')))
        for choice in value.get('choices') or ():
            texts.append(choice.get('delta', {}).get('content', ''))
    if not received.ended:
        return _broken(received)
    if not done:
        return Judgement(Verdict.CUT_SHORT)
    named = models == {f'{call.item.adapter}@{call.item.version}'}
    return _text(call, ''.join(texts), named, ' '.join(sorted(runs)))


def _error_event(event: str) -> Judgement:
    value = _json(event.partition(DATA)[2].encode())
    value = value.get('error', value)
    kind = value.get('kind') or errors.Kind.STREAM_BROKEN.value
    return Judgement(Verdict.ERROR, str(kind), str(value.get('ran')))


def _text(call: Call, text: str, named: bool, run: str) -> Judgement:
    if named and text == call.expected:
        return Judgement(Verdict.WHOLE, run=run)
    if named and call.expected.startswith(text):
        return Judgement(Verdict.CUT_SHORT, run=run)
    return Judgement(Verdict.WRONG, run=run)


def _json(data: bytes) -> dict:
    try:
        value = json.loads(data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
