"""Checks whether the key and quota of a workspace allow a request."""

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _quotas
from berylhollow.gateway import _refusal
from berylhollow.gateway import _state
from berylhollow import workspaces

OTHER_GATEWAY_RETRY_MS = 50
"""Retry delay for what this gateway does not know. The caller's next
connection leads to another gateway, which most likely knows it."""


UNPROVEN = _refusal.Refusal(errors.Kind.KEY_UNPROVEN, OTHER_GATEWAY_RETRY_MS)
OUTDATED = _refusal.Refusal(
    errors.Kind.CONFIGURATION_OUTDATED, OTHER_GATEWAY_RETRY_MS
)


def refused_by_head(
    state: _state.State, head: events.RequestHead, at_ms: int
) -> _refusal.Refusal | None:
    """Return why a request will be refused, before its body is read."""
    if state.follower.current is None:
        return None
    if state.is_outdated(at_ms):
        return OUTDATED
    found = state.follower.current.workspace(head)
    if isinstance(found, errors.Kind):
        return unknown(state, found, at_ms)
    if found is not None and not has_proven_keys(state, at_ms):
        return UNPROVEN
    wait_ms = _quotas.wait_ms(state, found, head.tokens, at_ms)
    if wait_ms:
        return _refusal.Refusal(errors.Kind.QUOTA_EXCEEDED, wait_ms)
    return None


def unknown(
    state: _state.State, kind: errors.Kind, at_ms: int
) -> _refusal.Refusal:
    """Return the refusal of a request that the configuration does not allow.

    A newer revision may allow it. While one is known that is not in force
    here, the caller is sent to another gateway.
    """
    if state.behind_ms(at_ms) is not None:
        return OUTDATED
    return _refusal.Refusal(kind)


def refused(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> _refusal.Refusal | None:
    """Return why a request may not be sent to an endpoint now.

    Guards against a key that is revoked while its request waits, and against
    one that was checked before the process stalled.
    """
    if state.is_outdated(at_ms):
        return OUTDATED
    if active.workspace is None:
        return None
    configuration = state.follower.current
    if configuration.revision != active.key_revision:
        found = configuration.workspace(active.request.head)
        if isinstance(found, errors.Kind):
            return _refusal.Refusal(found)
        if not _is_same_workspace(found, active.workspace):
            return _refusal.Refusal(errors.Kind.UNKNOWN_KEY)
        active.key_revision = configuration.revision
    if not has_proven_keys(state, at_ms):
        return UNPROVEN
    return None


def has_proven_keys(state: _state.State, at_ms: int) -> bool:
    """Tell whether the known keys are proven to be current.

    A read proves them whatever others know, if it began before a newer
    revision was heard of. A later read without that revision shows that the
    log has lost it. A gateway that starts into such a log would accept keys
    that other gateways know to be revoked, so it must have reached the newest
    known revision once.
    """
    if not state.follower.are_keys_proven(at_ms):
        return False
    known = state.known_revisions
    if known.newest is None:
        listening_ms = at_ms - state.started_ms
        return listening_ms >= state.options.neighbours_ms
    behind_ms = state.behind_ms(at_ms)
    if behind_ms is None:
        return True
    return known.was_reached and (
        state.follower.keys_age_ms(at_ms) > behind_ms
    )


def should_accept_callers(state: _state.State, at_ms: int) -> bool:
    """Tell whether callers should be sent to this gateway.

    No longer so some time before the proof of the keys expires, or before the
    configuration is outdated: the balancer and the callers need that time to
    switch to another gateway.
    """
    configuration = state.follower.current
    if configuration is None:
        return True
    behind_ms = state.behind_ms(at_ms)
    if behind_ms is not None and behind_ms >= state.options.outdated_ready_ms:
        return False
    if not configuration.has_workspaces:
        return True
    age_ms = state.follower.keys_age_ms(at_ms)
    return age_ms < state.options.keys_ready_ms and has_proven_keys(
        state, at_ms
    )


def _is_same_workspace(
    found: workspaces.Workspace | None, before: workspaces.Workspace
) -> bool:
    return found is not None and found.name == before.name
