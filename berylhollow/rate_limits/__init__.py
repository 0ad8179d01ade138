"""Rate limits of endpoints, enforced over all gateways together."""

from berylhollow.rate_limits._lender import Lender
from berylhollow.rate_limits._lender import LendResult
from berylhollow.rate_limits._loan import ANSWER_MS
from berylhollow.rate_limits._loan import Loan

__all__ = [
    'ANSWER_MS',
    'Lender',
    'LendResult',
    'Loan',
]
