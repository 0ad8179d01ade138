"""Streams that callers take up again, and the software that began them."""

from berylhollow.resumption._history import FIRST_START_MS
from berylhollow.resumption._history import MAX_GAP_MS
from berylhollow.resumption._history import VersionHistory
from berylhollow.resumption._origins import Origin
from berylhollow.resumption._origins import Origins
from berylhollow.resumption._origins import stream_key

__all__ = [
    'FIRST_START_MS',
    'MAX_GAP_MS',
    'Origin',
    'Origins',
    'VersionHistory',
    'stream_key',
]
