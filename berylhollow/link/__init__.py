"""Authenticated links that carry typed messages between our processes."""

from berylhollow.link._client import LinkClient
from berylhollow.link._codec import Codec
from berylhollow.link._codec import CodecError
from berylhollow.link._flusher import Flusher
from berylhollow.link._handshake import Identity
from berylhollow.link._link import Handler
from berylhollow.link._link import Link
from berylhollow.link._link import Options
from berylhollow.link._reason import Reason
from berylhollow.link._server import LinkServer

__all__ = [
    'Codec',
    'CodecError',
    'Flusher',
    'Handler',
    'Identity',
    'Link',
    'LinkClient',
    'LinkServer',
    'Options',
    'Reason',
]
