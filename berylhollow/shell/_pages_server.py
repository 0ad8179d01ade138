"""A small HTTP server for status pages of the process."""

import collections.abc

from aiohttp import web

Page = collections.abc.Callable[[], web.Response]
READ_METHODS = ('GET', 'HEAD')


class PagesServer:
    """Serves pages by path on a separate port."""

    def __init__(
        self, host: str, port: int, pages: collections.abc.Mapping[str, Page]
    ):
        self.host = host
        self.port = port
        self.pages = pages
        self.runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen and set ``port`` to the actual port; may raise OSError."""
        self.runner = web.ServerRunner(
            web.Server(self._answer, access_log=None)
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, self.port).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        page = self.pages.get(request.path)
        if page is None:
            return web.Response(status=404)
        if request.method not in READ_METHODS:
            return web.Response(status=405, headers={'Allow': 'GET, HEAD'})
        return page()
