"""How long requests run, to tell which of them end before a planned stop.

A gateway that is told to stop still gets requests until its load balancer has
seen that it isn't ready, and ends what runs when its grace is over.
"""

from berylhollow import errors
from berylhollow.gateway import _refusal
from berylhollow.gateway import _state
from berylhollow.util import bounded
from berylhollow.util import longest

MAX_SERVICES = 10_000
RETRY_AFTER_MS = 200
"""A caller that comes back is likely to reach another gateway; if not, the
load balancer soon stops to send here."""


def record(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """Record for how long the attempt of a request that ends has run."""
    if not active.offered:
        return
    duration = state.longest_runs.setdefault(
        active.service, longest.LongestDuration()
    )
    duration.record(at_ms - active.offered_ms, at_ms)
    bounded.drop_oldest(state.longest_runs, MAX_SERVICES)


def refusal_before_stop(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> _refusal.Refusal | None:
    """Return why a request isn't sent any more, None if it may be.

    Before a stop only those are sent that end in time: because of their
    deadline, or if they run as long as the longest one of their service. One
    that may have run already has nothing to lose.
    """
    if not state.stop_by_ms or active.may_have_run:
        return None
    if active.deadline_ms < state.stop_by_ms:
        return None
    duration = state.longest_runs.get(active.service)
    longest_ms = None if duration is None else duration.at(at_ms)
    if longest_ms is not None and at_ms + longest_ms < state.stop_by_ms:
        return None
    return _refusal.Refusal(errors.Kind.LEAVING, RETRY_AFTER_MS)
