"""The gateway: routes callers' requests to endpoints."""

from berylhollow.gateway._options import Options
from berylhollow.gateway._reducer import reduce
from berylhollow.gateway._state import State

__all__ = ['Options', 'State', 'reduce']
