"""An aiomisc service that serves a stand-in's application."""

import contextlib
import logging

from aiohttp import web
import aiomisc

from berylhollow.standin import _http

LOG = logging.getLogger(__name__)


class HttpService(aiomisc.Service):
    """Serves an application from the start of the process to its stop.

    On stop it refuses new calls and waits for those in flight.
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
        """Wait for the calls in flight and close."""
        await self.stack.aclose()
