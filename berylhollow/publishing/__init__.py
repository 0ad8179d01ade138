"""Read the configuration log, plan changes and publish them.

Used by the operators' commands.
"""

from berylhollow.publishing import _publisher
from berylhollow.publishing import _session

ConflictError = _publisher.ConflictError
Plan = _publisher.Plan
Publisher = _publisher.Publisher
Session = _session.Session
UnavailableError = _session.UnavailableError
UnsettledError = _publisher.UnsettledError

describe_deltas = _publisher.describe_deltas
