"""Read callers' request bodies within limits of time and memory."""

import asyncio

import aiohttp
from aiohttp import web

from berylhollow import clock
from berylhollow import errors
from berylhollow import settings as all_settings

CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyReader:
    """Reads request bodies and limits the memory they use together.

    ``held_bytes`` is the size of all bodies of requests that are being read
    or served. Only received bytes count, so that callers who announce a
    large body and send nothing don't use up the limit.
    """

    def __init__(self, settings: all_settings.GatewaySettings):
        self.max_body_bytes = settings.body_limit_bytes
        self.max_held_bytes = settings.limits.body_bytes_in_flight
        self.read_timeout_s = (
            settings.slow_client_timeout_ms / clock.MS_PER_SECOND
        )
        self.held_bytes = 0

    def release(self, size: int) -> None:
        """Stop counting a body of ``size`` bytes."""
        self.held_bytes -= size

    async def read(self, request: web.BaseRequest) -> bytes:
        """Return the complete body, which counts until it is released.

        Raises BODY_TOO_LARGE, OVERLOADED if the held bodies would exceed
        their limit, CALLER_TOO_SLOW if reading takes too long in total, and
        BAD_REQUEST if the body is truncated or badly chunked.
        """
        if (request.content_length or 0) > self.max_body_bytes:
            raise errors.BerylhollowError(errors.Kind.BODY_TOO_LARGE)
        await _send_continue(request)
        content = request.content
        try:
            if content.is_eof():
                data = content.read_nowait(-1)
                self._reserve(len(data), len(data))
                return data
            async with asyncio.timeout(self.read_timeout_s):
                return await self._read_chunks(content)
        except TimeoutError:
            raise errors.BerylhollowError(
                errors.Kind.CALLER_TOO_SLOW
            ) from None
        except (aiohttp.ClientError, web.RequestPayloadError) as error:
            raise errors.BerylhollowError(
                errors.Kind.BAD_REQUEST, 'The body is not valid.'
            ) from error

    async def _read_chunks(self, content: aiohttp.StreamReader) -> bytes:
        data = bytearray()
        complete = False
        try:
            while not content.at_eof():
                chunk = await content.readany()
                self._reserve(len(chunk), len(data) + len(chunk))
                data += chunk
            complete = True
            return bytes(data)
        finally:
            if not complete:
                self.release(len(data))

    def _reserve(self, size: int, total: int) -> None:
        if total > self.max_body_bytes:
            raise errors.BerylhollowError(errors.Kind.BODY_TOO_LARGE)
        if self.held_bytes + size > self.max_held_bytes:
            raise errors.BerylhollowError(errors.Kind.OVERLOADED)
        self.held_bytes += size


async def _send_continue(request: web.BaseRequest) -> None:
    """Send 100 Continue if the caller expects it.

    Raises BAD_HEADER for any other expectation.
    """
    expectation = request.headers.get('Expect')
    if expectation is None:
        return
    if expectation.lower() != '100-continue':
        raise errors.BerylhollowError(
            errors.Kind.BAD_HEADER, 'Expect is not valid.'
        )
    await request.writer.write(CONTINUE_RESPONSE)
    # The interim response does not count as output of the final response.
    request.writer.output_size = 0
