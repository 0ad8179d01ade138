"""Workspaces: the callers, their API keys and their quotas."""

from berylhollow.workspaces._allowance import Allowance
from berylhollow.workspaces._book import Book
from berylhollow.workspaces._book import GatewayUsage
from berylhollow.workspaces._book import UsageTotals
from berylhollow.workspaces._keys import digest
from berylhollow.workspaces._keys import header_key_digest
from berylhollow.workspaces._types import Quota
from berylhollow.workspaces._types import Tolerance
from berylhollow.workspaces._types import Unit
from berylhollow.workspaces._types import Workspace

__all__ = [
    'Allowance',
    'Book',
    'Quota',
    'UsageTotals',
    'Tolerance',
    'Unit',
    'GatewayUsage',
    'Workspace',
    'header_key_digest',
    'digest',
]
