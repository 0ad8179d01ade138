"""Checks whether the key and quota of a workspace allow a request."""

import dataclasses

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _quotas
from berylhollow.gateway import _state
from berylhollow import workspaces

OTHER_GATEWAY_RETRY_MS = 50
"""Retry delay for a key that can't be proven here. The caller's next
connection leads to another gateway, which most likely can prove it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and after how long its caller may retry."""

    kind: errors.Kind
    retry_after_ms: int = 0


UNPROVEN = Refusal(errors.Kind.KEY_UNPROVEN, OTHER_GATEWAY_RETRY_MS)


def refused_by_head(
    state: _state.State, head: events.RequestHead, at_ms: int
) -> Refusal | None:
    """Return why a request will be refused, before its body is read."""
    if state.follower.current is None:
        return None
    found = state.follower.current.workspace(head)
    if isinstance(found, errors.Kind):
        return Refusal(found)
    if found is not None and not has_proven_keys(state, at_ms):
        return UNPROVEN
    wait_ms = _quotas.wait_ms(state, found, head.tokens, at_ms)
    if wait_ms:
        return Refusal(errors.Kind.QUOTA_EXCEEDED, wait_ms)
    return None


def refused(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Refusal | None:
    """Return why a request may not be sent to an endpoint now.

    Guards against a key that is revoked while its request waits, and against
    one that was checked before the process stalled.
    """
    if active.workspace is None:
        return None
    configuration = state.follower.current
    if configuration.revision != active.key_revision:
        found = configuration.workspace(active.request.head)
        if isinstance(found, errors.Kind):
            return Refusal(found)
        if not _is_same_workspace(found, active.workspace):
            return Refusal(errors.Kind.UNKNOWN_KEY)
        active.key_revision = configuration.revision
    if not has_proven_keys(state, at_ms):
        return UNPROVEN
    return None


def has_proven_keys(state: _state.State, at_ms: int) -> bool:
    """Tell whether the known keys are proven to be current.

    Guards against a gateway that starts while the log lacks the operators'
    last records: it would accept keys that other gateways know to be revoked.
    """
    if not state.follower.are_keys_proven(at_ms):
        return False
    if state.newest_known_revision is None:
        listening_ms = at_ms - state.started_ms
        return listening_ms >= state.options.neighbours_ms
    return state.follower.current.revision >= state.newest_known_revision


def should_accept_keys(state: _state.State, at_ms: int) -> bool:
    """Tell whether callers with keys should be sent to this gateway.

    No longer so some time before the proof of the keys expires: the balancer
    and the callers need that time to switch to another gateway.
    """
    configuration = state.follower.current
    if configuration is None or not configuration.has_workspaces:
        return True
    age_ms = state.follower.keys_age_ms(at_ms)
    return age_ms < state.options.keys_ready_ms and has_proven_keys(
        state, at_ms
    )


def _is_same_workspace(
    found: workspaces.Workspace | None, before: workspaces.Workspace
) -> bool:
    return found is not None and found.name == before.name
