"""The sidecar of a direct endpoint: loads and unloads its adapters.

Requests bypass the sidecar, so an endpoint that loses it keeps serving the
adapters that it holds. Only the sidecar sends orders to the endpoint: it runs
on the same instance and reads the endpoint's current state, so no leader
election is needed.
"""

from berylhollow.loader._reducer import reduce
from berylhollow.loader._state import Options
from berylhollow.loader._state import State

__all__ = ['Options', 'State', 'reduce']
