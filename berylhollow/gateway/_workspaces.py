"""Whose request it is, and whether its workspace may have it run."""

import dataclasses

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import workspaces


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and when its caller may come back."""

    kind: errors.Kind
    retry_after_ms: int = 0


def refused_by_head(
    state: _state.State, head: events.RequestHead, _at_ms: int
) -> Refusal | None:
    """Return why a request will be refused, before its body is read."""
    view = state.follower.current
    if view is None:
        return None
    found = view.workspace(head)
    if isinstance(found, errors.Kind):
        return Refusal(found)
    return None


def refused(
    state: _state.State, active: _state.ActiveRequest, _at_ms: int
) -> Refusal | None:
    """Return why a request is not sent to an endpoint now.

    Guards against a key that is taken away while its request waits.
    """
    if active.workspace is None:
        return None
    found = state.follower.current.workspace(active.request.head)
    if isinstance(found, errors.Kind):
        return Refusal(found)
    if not _is_same(found, active.workspace):
        return Refusal(errors.Kind.UNKNOWN_KEY)
    return None


def _is_same(
    found: workspaces.Workspace | None, before: workspaces.Workspace
) -> bool:
    return found is not None and found.name == before.name
