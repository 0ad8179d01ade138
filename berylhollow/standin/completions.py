"""Parsing of completion requests and writing of their responses.

A response's text holds the adapter that produced it and the request's last
message, so that a test can check that a response belongs to its request.
"""

import dataclasses
import hashlib
import json

from berylhollow import messages
from berylhollow.standin import engine_types

DEFAULT_OUTPUT_TOKENS = 16
CRASH_MARK = b'crash-this-engine'
MAX_ECHO_CHARS = 400
DONE = b'data: [DONE]\n\n'


@dataclasses.dataclass(frozen=True)
class Completion:
    """A completion request, chat or plain."""

    request: engine_types.EngineRequest
    chat: bool
    stream: bool
    last_message: str


def parse(
    body: bytes, chat: bool, request_id: str, priority: int
) -> Completion:
    """Parse a request body; raises ``ValueError`` or ``KeyError`` if bad."""
    value = json.loads(body)
    adapter, separator, version = value['model'].rpartition('@')
    if not separator:
        raise ValueError('the model is no adapter@version')
    texts = _texts(value, chat)
    first_tokens = _count_tokens(texts[0]) if len(texts) > 1 else 0
    request = engine_types.EngineRequest(
        request=request_id,
        adapter=messages.AdapterVersion(adapter, version),
        prompt_tokens=sum(_count_tokens(text) for text in texts),
        output_tokens=max(1, _output_tokens(value)),
        priority=priority,
        prefix=hashlib.sha256(texts[0].encode()).hexdigest()[:16],
        prefix_tokens=first_tokens,
        crashes_engine=CRASH_MARK in body,
    )
    return Completion(
        request, chat, value.get('stream') is True, texts[-1][:MAX_ECHO_CHARS]
    )


def _texts(value: dict, chat: bool) -> list[str]:
    if chat:
        return [str(message['content']) for message in value['messages']]
    prompt = value['prompt']
    return [prompt] if isinstance(prompt, str) else [str(x) for x in prompt]


def _output_tokens(value: dict) -> int:
    tokens = value.get('max_tokens', value.get('max_completion_tokens'))
    return DEFAULT_OUTPUT_TOKENS if tokens is None else int(tokens)


def _count_tokens(text: str) -> int:
    return len(text.split())


class ResponseWriter:
    """Makes the text, chunks and response body of one completion."""

    def __init__(self, completion: Completion):
        self.completion = completion
        self.adapter: messages.AdapterVersion | None = None
        self.texts: list[str] = []

    def text(self, token: engine_types.Token) -> str:
        """Return a token's text, with its adapter whenever that changes."""
        if token.adapter != self.adapter:
            label = f'[{token.adapter}]'
            if token.index == 0:
                label += f' {self.completion.last_message}'
            text = label if token.index == 0 else f' {label}'
        else:
            text = f' {token.index}'
        self.adapter = token.adapter
        self.texts.append(text)
        return text

    def first_chunk(self) -> bytes:
        """Return the chunk with the role; empty unless this is a chat."""
        if not self.completion.chat:
            return b''
        return self.chunk({'delta': {'role': 'assistant', 'content': ''}})

    def token_chunk(self, token: engine_types.Token) -> bytes:
        """Return the chunk of one token."""
        text = self.text(token)
        if self.completion.chat:
            return self.chunk({'delta': {'content': text}})
        return self.chunk({'text': text})

    def last_chunks(self, finished: engine_types.Finished) -> bytes:
        """Return the chunks with finish reason and usage, and ``[DONE]``."""
        part = {'delta': {}} if self.completion.chat else {'text': ''}
        reason = self.chunk(part, 'length')
        usage = self.sse_event([], self.usage(finished))
        return reason + usage + DONE

    def chunk(self, part: dict, finish_reason: str | None = None) -> bytes:
        choice = {'index': 0, 'finish_reason': finish_reason, **part}
        return self.sse_event([choice])

    def sse_event(self, choices: list, usage: dict | None = None) -> bytes:
        value = self.common_fields('chat.completion.chunk')
        value['choices'] = choices
        if usage is not None:
            value['usage'] = usage
        return b'data: ' + json.dumps(value).encode() + b'\n\n'

    def answer(self, finished: engine_types.Finished) -> dict:
        """Return the body of a response that is not streamed."""
        text = ''.join(self.texts)
        if self.completion.chat:
            part = {'message': {'role': 'assistant', 'content': text}}
        else:
            part = {'text': text}
        value = self.common_fields('chat.completion')
        value['choices'] = [{'index': 0, 'finish_reason': 'length', **part}]
        value['usage'] = self.usage(finished)
        return value

    def common_fields(self, chat_object: str) -> dict:
        chat = self.completion.chat
        return {
            'id': self.completion.request.request,
            'object': chat_object if chat else 'text_completion',
            'created': 0,
            'model': str(self.adapter or self.completion.request.adapter),
        }

    def usage(self, finished: engine_types.Finished) -> dict:
        prompt = self.completion.request.prompt_tokens
        output = len(self.texts)
        return {
            'prompt_tokens': prompt,
            'completion_tokens': output,
            'total_tokens': prompt + output,
            'prompt_tokens_details': {'cached_tokens': finished.cached_tokens},
        }
