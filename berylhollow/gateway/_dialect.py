"""How callers say what they want, and how they are told of failures.

The path of a request through the gateway is the same whoever the callers
are; a dialect only decodes what they send and encodes what we add.
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


class Draft(typing.Protocol):
    """A request whose head is valid and whose body is still to come.

    ``head`` is None where only the body tells what is asked for.
    """

    head: events.RequestHead | None

    def build(self, request_id: str, body: bytes) -> events.Request:
        """Return the request as the reducer takes it.

        Raises ``errors.BerylhollowError`` if the body is not valid.
        """


class Dialect(typing.Protocol):
    """The form of requests and of our own answers.

    ``error_events`` tells whether a stream that breaks off ends with an
    event of ours.
    """

    error_events: bool

    def echoed_id(self, headers) -> str | None:
        """Return the caller's own id of its request, if it sent one."""

    def accept(
        self, request: web.BaseRequest, default_deadline_ms: int
    ) -> Draft | None:
        """Check the head of a request; None if it asks for a page of ours.

        Raises ``errors.BerylhollowError``.
        """

    def error_response(
        self,
        kind: errors.Kind,
        ran: errors.Ran,
        request_id: str,
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> web.Response:
        """Return the whole answer for an error."""

    def relayed_headers(
        self, headers: tuple[messages.Header, ...], request_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of an endpoint's answer as callers see them."""


class MethodNotAllowedError(errors.BerylhollowError):
    """A method that the path does not have; ``allowed`` are those it has."""

    def __init__(self, allowed: frozenset[str]):
        super().__init__(errors.Kind.METHOD_NOT_ALLOWED)
        self.allowed = allowed


def check_method(request: web.BaseRequest, allowed: frozenset[str]) -> None:
    """Raise ``MethodNotAllowedError`` for a method that is not allowed."""
    if request.method not in allowed:
        raise MethodNotAllowedError(allowed)


def check_version(request: web.BaseRequest) -> None:
    """Raise BAD_REQUEST for a version without an end of answers.

    Before HTTP/1.1 the end of a connection is the end of an answer: one that
    is cut short would look whole.
    """
    if request.version < HTTP_1_1:
        raise errors.BerylhollowError(
            errors.Kind.BAD_REQUEST, 'HTTP/1.1 is required.'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class OwnDraft:
    """A request in the project's own form."""

    terms: _parsing.CallerTerms
    target: _parsing.Target
    method: str
    headers: tuple[messages.Header, ...]
    head: events.RequestHead | None = None

    def build(self, request_id: str, body: bytes) -> events.Request:
        return _parsing.build(
            request_id,
            self.terms,
            self.target,
            self.method,
            self.headers,
            body,
        )


class OwnDialect:
    """The project's own interface for callers."""

    error_events = True

    def echoed_id(self, headers) -> str | None:
        return _parsing.echoed_id(headers)

    def accept(
        self, request: web.BaseRequest, default_deadline_ms: int
    ) -> OwnDraft | None:
        target = _parsing.target(_parsing.origin_form(request.raw_path))
        if target is None:
            return None
        check_method(request, target.methods)
        check_version(request)
        terms = _parsing.caller_terms(request.headers, default_deadline_ms)
        headers = _parsing.passed_headers(request.headers)
        if target.is_model:
            _parsing.check_json_headers(request.headers)
        return OwnDraft(terms, target, request.method, headers)

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
