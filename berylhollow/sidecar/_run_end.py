"""The end of a run: crash detection and the log line."""

import logging

import aiohttp

from berylhollow import answer_body
from berylhollow.sidecar import _run

LOG = logging.getLogger(__name__)

BROKEN_CONNECTION_ERRORS = (
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
    OSError,
)


def is_broken_connection(error: Exception | None) -> bool:
    """Tell whether a call failed because its connection broke, as in a crash.

    No error and a timeout do not count as a broken connection, nor does an
    endpoint that is too busy to show that it has outlived its answer.
    """
    if isinstance(error, answer_body.EndUnproven):
        return False
    if isinstance(error, answer_body.BodyTruncated):
        return True
    cause = None if error is None else error.__cause__
    if isinstance(cause, TimeoutError):
        return False
    return isinstance(cause, BROKEN_CONNECTION_ERRORS)


def log_end(run: _run.Run, outcome: str, now_ms: int) -> None:
    """Log the end of an attempt at the endpoint."""
    offer = run.effect.offer
    head_ms = None if run.head_ms is None else run.head_ms - run.began_ms
    LOG.info(
        'attempt ended',
        extra={
            'attempt_id': run.attempt_id,
            'request_id': offer.request_id,
            'service': offer.service,
            'adapter': offer.adapter.adapter if offer.adapter else '',
            'version': offer.adapter.version if offer.adapter else '',
            'outcome': outcome,
            'status': run.status,
            'bytes': run.body_bytes,
            'frames': run.sender.next_sequence,
            'duration_ms': now_ms - run.began_ms,
            'head_ms': head_ms,
        },
    )
