"""The loader as a process: its shell, its metrics and its signals."""

import aiomisc

from berylhollow.loader import _shell
from berylhollow import metrics
from berylhollow import shell
from berylhollow.util import loop

Shell = _shell.Shell


class LoaderService(aiomisc.Service):
    """Starts and stops one loader with its process."""

    def __init__(
        self,
        loader: _shell.Shell,
        meters: metrics.Meters,
        listen: tuple[str, int],
        lifetime: loop.Lifetime,
    ):
        super().__init__()
        self.loader = loader
        self.meters = meters
        self.lifetime = lifetime
        host, port = listen
        self.pages = shell.PagesServer(
            host, port, {'/metrics': lambda: metrics.page(meters)}
        )

    async def start(self) -> None:
        """Listen and begin."""
        await self.loader.start()
        self.loader.ended.add_done_callback(self._ended)
        await self.pages.start()
        metrics.open_soon(self.meters)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close everything."""
        self.lifetime.stop(await self.loader.stop())
        await self.pages.stop()

    def _ended(self, ended) -> None:
        self.lifetime.stop(ended.result())
