"""When which waiting request may be sent to an endpoint; does no I/O.

An engine that reads one prompt after the other delays the answers that it
generates beside them. Prompts are therefore admitted in batches that are read
within the longest gap that the answers allow.
"""

from berylhollow.admission._admissions import Admissions
from berylhollow.admission._admissions import Grant
from berylhollow.admission._gap_control import GapControl
from berylhollow.admission._shares import WorkspaceShares

__all__ = [
    'Admissions',
    'GapControl',
    'Grant',
    'WorkspaceShares',
]
