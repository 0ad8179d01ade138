"""A stand-in as a service of its process."""

import contextlib
import logging

from aiohttp import web
import aiomisc

from berylhollow.standin import _http

LOG = logging.getLogger(__name__)


class HttpService(aiomisc.Service):
    """Serve an application from the start of the process to its stop.

    The stop refuses new calls and lets those under way end.
    """

    __required__ = ('application', 'host', 'port')

    application: web.Application
    host: str
    port: int
    stack: contextlib.AsyncExitStack

    async def start(self) -> None:
        """Listen; raises ``OSError`` if the port is taken."""
        self.stack = contextlib.AsyncExitStack()
        port = await self.stack.enter_async_context(
            _http.listening(self.application, self.host, self.port)
        )
        LOG.info('listening on %s:%d', self.host, port)

    async def stop(self, exception: Exception | None = None) -> None:
        """Wait for the calls under way and close."""
        await self.stack.aclose()
