"""The page on which metrics are read, and making it ready."""

import asyncio
import logging

from aiohttp import web

from berylhollow.metrics import _meters

LOG = logging.getLogger(__name__)


def open_soon(meters: _meters.Meters) -> None:
    """Have the metrics ready without holding up what is served meanwhile.

    The import runs in a thread, which gives way every few milliseconds.
    """
    opening = asyncio.get_running_loop().run_in_executor(None, meters.open)
    opening.add_done_callback(_opened)


def _opened(opening: asyncio.Future) -> None:
    if not opening.cancelled() and opening.exception() is not None:
        LOG.error('no metrics', exc_info=opening.exception())


def page(meters: _meters.Meters) -> web.Response:
    """Return all metrics in the Prometheus text format."""
    headers = {'Content-Type': _meters.CONTENT_TYPE}
    return web.Response(body=meters.render(), headers=headers)
