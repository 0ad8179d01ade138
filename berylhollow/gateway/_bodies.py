"""Read callers' request bodies, within bounds of time and memory."""

import asyncio

import aiohttp
from aiohttp import web

from berylhollow import clock
from berylhollow import errors
from berylhollow import settings as all_settings

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Bodies:
    """Read bodies and count what is held of them.

    ``held_bytes`` is the size of all bodies of requests that are being read
    or served. Only what has arrived counts, so that callers who announce
    much and send nothing take no room from others.
    """

    def __init__(self, settings: all_settings.GatewaySettings):
        self.largest = settings.body_limit_bytes
        self.limit_bytes = settings.limits.body_bytes_in_flight
        self.timeout = settings.slow_client_timeout_ms / clock.MS_PER_SECOND
        self.held_bytes = 0

    def release(self, size: int) -> None:
        """Count a body of ``size`` bytes no longer."""
        self.held_bytes -= size

    async def read(self, request: web.BaseRequest) -> bytes:
        """Return the whole body, which is held until it is released.

        Raises BODY_TOO_LARGE, OVERLOADED if too much is held of others,
        CALLER_TOO_SLOW if it takes too long as a whole, and BAD_REQUEST if
        it is cut short or badly chunked.
        """
        if (request.content_length or 0) > self.largest:
            raise errors.BerylhollowError(errors.Kind.BODY_TOO_LARGE)
        await _expect(request)
        content = request.content
        try:
            if content.is_eof():
                data = content.read_nowait(-1)
                self._hold(len(data), len(data))
                return data
            async with asyncio.timeout(self.timeout):
                return await self._read_slowly(content)
        except TimeoutError:
            raise errors.BerylhollowError(
                errors.Kind.CALLER_TOO_SLOW
            ) from None
        except (aiohttp.ClientError, web.RequestPayloadError) as error:
            raise errors.BerylhollowError(
                errors.Kind.BAD_REQUEST, 'The body is not valid.'
            ) from error

    async def _read_slowly(self, content: aiohttp.StreamReader) -> bytes:
        data = bytearray()
        whole = False
        try:
            while not content.at_eof():
                part = await content.readany()
                self._hold(len(part), len(data) + len(part))
                data += part
            whole = True
            return bytes(data)
        finally:
            if not whole:
                self.release(len(data))

    def _hold(self, size: int, total: int) -> None:
        if total > self.largest:
            raise errors.BerylhollowError(errors.Kind.BODY_TOO_LARGE)
        if self.held_bytes + size > self.limit_bytes:
            raise errors.BerylhollowError(errors.Kind.OVERLOADED)
        self.held_bytes += size


async def _expect(request: web.BaseRequest) -> None:
    """Ask for a body that the caller holds back until it is wanted."""
    expected = request.headers.get('Expect')
    if expected is None:
        return
    if expected.lower() != '100-continue':
        raise errors.BerylhollowError(
            errors.Kind.BAD_HEADER, 'Expect is not valid.'
        )
    await request.writer.write(CONTINUE)
    # The interim answer is not part of the answer itself.
    request.writer.output_size = 0
