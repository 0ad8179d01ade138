"""Report on service-level burn, from the processes' log lines.

``report.page`` draws the page and is not imported here: it needs matplotlib,
which the figures alone do not.
"""

from berylhollow.report._burn import Burn
from berylhollow.report._burn import WINDOWS
from berylhollow.report._objectives import Objective
from berylhollow.report._objectives import OBJECTIVES
from berylhollow.report._records import Answer
from berylhollow.report._records import Mark
from berylhollow.report._records import read
from berylhollow.report._records import Records
from berylhollow.report._summary import alerts
from berylhollow.report._summary import summarize
from berylhollow.report._summary import Summary
from berylhollow.report._summary import to_json

__all__ = [
    'OBJECTIVES',
    'WINDOWS',
    'Answer',
    'Burn',
    'Mark',
    'Objective',
    'Records',
    'Summary',
    'alerts',
    'read',
    'summarize',
    'to_json',
]
