"""Whose request it is, and whether its workspace may have it run."""

import dataclasses

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _quotas
from berylhollow.gateway import _state
from berylhollow import workspaces

ELSEWHERE_MS = 50
"""When to come back with a key that can't be proven here: the caller's next
connection leads to another gateway, which most likely can."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and when its caller may come back."""

    kind: errors.Kind
    retry_after_ms: int = 0


UNPROVEN = Refusal(errors.Kind.KEY_UNPROVEN, ELSEWHERE_MS)


def refused_by_head(
    state: _state.State, head: events.RequestHead, at_ms: int
) -> Refusal | None:
    """Return why a request will be refused, before its body is read."""
    if state.follower.current is None:
        return None
    found = state.follower.current.workspace(head)
    if isinstance(found, errors.Kind):
        return Refusal(found)
    if found is not None and not keys_proven(state, at_ms):
        return UNPROVEN
    wait_ms = _quotas.wait_ms(state, found, head.tokens, at_ms)
    if wait_ms:
        return Refusal(errors.Kind.QUOTA_EXCEEDED, wait_ms)
    return None


def refused(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Refusal | None:
    """Return why a request is not sent to an endpoint now.

    Guards against a key that is taken away while its request waits, and
    against one that was checked before the process stood still.
    """
    if active.workspace is None:
        return None
    view = state.follower.current
    if view.revision != active.key_revision:
        found = view.workspace(active.request.head)
        if isinstance(found, errors.Kind):
            return Refusal(found)
        if not _is_same(found, active.workspace):
            return Refusal(errors.Kind.UNKNOWN_KEY)
        active.key_revision = view.revision
    if not keys_proven(state, at_ms):
        return UNPROVEN
    return None


def keys_proven(state: _state.State, at_ms: int) -> bool:
    """Tell whether the keys are known well enough to use them.

    Guards against a gateway that starts while the log lacks what its
    operators wrote last: it would let keys in that its neighbours know to be
    taken away.
    """
    if not state.follower.keys_hold(at_ms):
        return False
    if state.told_revision is None:
        listening_ms = at_ms - state.started_ms
        return listening_ms >= state.options.neighbours_ms
    return state.follower.current.revision >= state.told_revision


def takes_keys(state: _state.State, at_ms: int) -> bool:
    """Tell whether callers with keys are well served here.

    Sooner not than the keys' proof ends: the balancer and the callers need
    some time to turn elsewhere.
    """
    view = state.follower.current
    if view is None or not view.has_workspaces:
        return True
    age_ms = state.follower.keys_age_ms(at_ms)
    return age_ms < state.options.keys_ready_ms and keys_proven(state, at_ms)


def _is_same(
    found: workspaces.Workspace | None, before: workspaces.Workspace
) -> bool:
    return found is not None and found.name == before.name
