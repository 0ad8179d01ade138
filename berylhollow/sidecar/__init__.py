"""The sidecar: forwards all requests and load orders to its endpoint."""

from berylhollow.sidecar._options import Options
from berylhollow.sidecar._reducer import reduce
from berylhollow.sidecar._state import SlotPhase
from berylhollow.sidecar._state import State

__all__ = ['Options', 'SlotPhase', 'State', 'reduce']
