"""The page on which metrics are read, and making it ready."""

import logging
import threading

from aiohttp import web

from berylhollow.metrics import _meters

LOG = logging.getLogger(__name__)


def open_soon(meters: _meters.Meters) -> None:
    """Have the metrics ready without holding up what is served meanwhile.

    The import runs in a thread, which gives way every few milliseconds. The
    thread is a daemon: one of the event loop's own would be waited for by a
    process that is told to stop, for seconds on a busy instance.
    """
    threading.Thread(target=_open, args=(meters,), daemon=True).start()


def _open(meters: _meters.Meters) -> None:
    try:
        meters.open()
    except Exception:
        LOG.exception('no metrics')


def page(meters: _meters.Meters) -> web.Response:
    """Return all metrics in the Prometheus text format."""
    headers = {'Content-Type': _meters.CONTENT_TYPE}
    return web.Response(body=meters.render(), headers=headers)
