"""What operators' commands do with the log: read, plan and publish."""

from berylhollow.publishing import _publisher
from berylhollow.publishing import _session

ConflictError = _publisher.ConflictError
Plan = _publisher.Plan
Publisher = _publisher.Publisher
Session = _session.Session
UnavailableError = _session.UnavailableError
UnsettledError = _publisher.UnsettledError

describe_deltas = _publisher.describe_deltas
