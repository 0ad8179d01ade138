"""Report on error-budget burn, computed from the processes' log lines.

``report.page`` renders the HTML page. It is not imported here because it needs
matplotlib, which the JSON report does not.
"""

from berylhollow.report._burn import Burn
from berylhollow.report._burn import WINDOWS
from berylhollow.report._objectives import Objective
from berylhollow.report._objectives import OBJECTIVES
from berylhollow.report._records import Answer
from berylhollow.report._records import Mark
from berylhollow.report._records import parse_log
from berylhollow.report._records import Records
from berylhollow.report._summary import alerting_results
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
    'alerting_results',
    'parse_log',
    'summarize',
    'to_json',
]
