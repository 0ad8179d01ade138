"""Workspaces: who may call, with which keys and how much."""

from berylhollow.workspaces._keys import credential
from berylhollow.workspaces._keys import digest
from berylhollow.workspaces._types import Quota
from berylhollow.workspaces._types import Unit
from berylhollow.workspaces._types import Workspace

__all__ = [
    'Quota',
    'Unit',
    'Workspace',
    'credential',
    'digest',
]
