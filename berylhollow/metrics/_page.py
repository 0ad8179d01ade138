"""Serve the metrics page and prepare it in the background."""

import logging
import threading

from aiohttp import web

from berylhollow.metrics import _meters

LOG = logging.getLogger(__name__)


def open_in_background(meters: _meters.Meters) -> None:
    """Import the metrics libraries in a thread, without blocking requests.

    The interpreter switches threads every few milliseconds, so requests go
    on during the import. The thread is a daemon, not one of the event loop's
    executor: a stopping process waits for those, for seconds on a busy
    instance.
    """
    threading.Thread(target=_open_or_log, args=(meters,), daemon=True).start()


def _open_or_log(meters: _meters.Meters) -> None:
    try:
        meters.open()
    except Exception:
        LOG.exception('could not create the metrics')


def page(meters: _meters.Meters) -> web.Response:
    """Return the response with all metrics as Prometheus text."""
    headers = {'Content-Type': _meters.CONTENT_TYPE}
    return web.Response(body=meters.render(), headers=headers)
