"""Dialects: the HTTP interfaces that a gateway can offer to callers.

A request is handled the same in every dialect; a dialect only decodes what
callers send and encodes the headers and errors that the gateway adds.
"""

import dataclasses
import typing

from aiohttp import web

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _answers
from berylhollow.gateway import _parsing
from berylhollow import messages

HTTP_1_1 = (1, 1)


class RequestDraft(typing.Protocol):
    """A request whose head is valid and whose body was not read yet.

    ``head`` is None if the target can only be determined from the body.
    """

    head: events.RequestHead | None

    def build(self, request_id: str, body: bytes) -> events.Request:
        """Build the request for the reducer.

        Raises ``errors.BerylhollowError`` if the body is not valid.
        """


class Dialect(typing.Protocol):
    """The format of requests and of the gateway's own responses.

    ``sends_error_events`` is true if a stream that breaks off ends with an
    error event.
    """

    sends_error_events: bool

    def caller_request_id(self, headers) -> str | None:
        """Return the request id that the caller sent, None without one."""

    def parse_head(
        self, request: web.BaseRequest, default_deadline_ms: int
    ) -> RequestDraft | None:
        """Parse the head of a request; None for the gateway's own pages.

        Raises ``errors.BerylhollowError`` if the head is not valid.
        """

    def error_response(
        self,
        kind: errors.Kind,
        ran: errors.Ran,
        request_id: str,
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> web.Response:
        """Return the complete response for an error."""

    def relayed_headers(
        self, headers: tuple[messages.Header, ...], request_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of an endpoint's answer for the caller."""


class MethodNotAllowedError(errors.BerylhollowError):
    """The path does not support the method, only those in ``allowed``."""

    def __init__(self, allowed: frozenset[str]):
        super().__init__(errors.Kind.METHOD_NOT_ALLOWED)
        self.allowed = allowed


def check_method(request: web.BaseRequest, allowed: frozenset[str]) -> None:
    """Raise ``MethodNotAllowedError`` for a method that is not allowed."""
    if request.method not in allowed:
        raise MethodNotAllowedError(allowed)


def check_version(request: web.BaseRequest) -> None:
    """Raise BAD_REQUEST for versions before HTTP/1.1.

    Before HTTP/1.1 a body ends with its connection: a truncated answer
    would look complete.
    """
    if request.version < HTTP_1_1:
        raise errors.BerylhollowError(
            errors.Kind.BAD_REQUEST, 'HTTP/1.1 is required.'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NativeDraft:
    """A request in the project's own interface, without its body."""

    options: _parsing.RequestOptions
    target: _parsing.Target
    method: str
    headers: tuple[messages.Header, ...]
    head: events.RequestHead | None = None

    def build(self, request_id: str, body: bytes) -> events.Request:
        return _parsing.build_request(
            request_id,
            self.options,
            self.target,
            self.method,
            self.headers,
            body,
        )


class NativeDialect:
    """The project's own interface for callers."""

    sends_error_events = True

    def caller_request_id(self, headers) -> str | None:
        return _parsing.caller_request_id(headers)

    def parse_head(
        self, request: web.BaseRequest, default_deadline_ms: int
    ) -> NativeDraft | None:
        target = _parsing.parse_target(_parsing.origin_form(request.raw_path))
        if target is None:
            return None
        check_method(request, target.methods)
        check_version(request)
        options = _parsing.request_options(
            request.headers, default_deadline_ms
        )
        headers = _parsing.forwarded_headers(request.headers)
        if target.is_model:
            _parsing.check_json_headers(request.headers)
        return NativeDraft(options, target, request.method, headers)

    def error_response(
        self,
        kind: errors.Kind,
        ran: errors.Ran,
        request_id: str,
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> web.Response:
        return _answers.error_response(
            kind, ran, request_id, retry_after_ms, detail
        )

    def relayed_headers(
        self, headers: tuple[messages.Header, ...], request_id: str
    ) -> list[tuple[str, str]]:
        return _answers.relayed_headers(headers, request_id)
