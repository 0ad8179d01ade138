"""The loader as a service of its process, with a metrics page."""

import aiomisc

from berylhollow.loader import _shell
from berylhollow import metrics
from berylhollow import shell
from berylhollow.util import loop

Shell = _shell.Shell


class LoaderService(aiomisc.Service):
    """Starts and stops one loader and its metrics page with the process."""

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
        state = loader.driver.state
        meters.observe(
            'berylhollow.admissions_waiting',
            lambda: state.admissions.waiting,
            [('berylhollow.service', state.options.service)],
        )
        host, port = listen
        self.pages = shell.PagesServer(
            host, port, {'/metrics': lambda: metrics.page(meters)}
        )

    async def start(self) -> None:
        """Start the loader and the metrics page."""
        await self.loader.start()
        self.loader.ended.add_done_callback(self._ended)
        await self.pages.start()
        metrics.open_in_background(self.meters)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the loader and the metrics page."""
        self.lifetime.stop(await self.loader.stop())
        await self.pages.stop()

    def _ended(self, ended) -> None:
        self.lifetime.stop(ended.result())
