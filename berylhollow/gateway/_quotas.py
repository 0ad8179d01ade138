"""Quotas of workspaces: how much of each this gateway may admit.

A few sidecars keep books: each sums up what all gateways have used. All
gateways rank the sidecars alike, report their usage to the first ones and
receive the sums. None of this is on the path of a request.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.policy import rendezvous
from berylhollow.util import jitter
from berylhollow import workspaces

Effects = list[effects.Effect]

BOOK_COUNT = 2
"""Number of sidecars that keep books. With two, gateways that know of one
sidecar more or less than others still have a book in common."""

USE_REPORT_INTERVAL_MS = 200
"""Interval between reports of usage. What other gateways use meanwhile is not
seen, and is missing from the quota afterwards."""

IDLE_USE_REPORT_INTERVAL_MS = 600
"""Interval between reports while nothing is asked for; short enough that the
sums do not become stale."""


def wait_ms(
    state: _state.State,
    workspace: workspaces.Workspace | None,
    tokens: int,
    at_ms: int,
) -> int:
    """Return how long until the quota allows a request, 0 if it does now."""
    allowance = _get_or_add_allowance(state, workspace, at_ms)
    if allowance is None:
        return 0
    return allowance.wait_ms(workspace.quota.cost(tokens), at_ms)


def record_demand(
    state: _state.State,
    workspace: workspaces.Workspace | None,
    tokens: int,
    at_ms: int,
) -> None:
    """Count the tokens that a request asks for, admitted or not."""
    allowance = _get_or_add_allowance(state, workspace, at_ms)
    if allowance is not None:
        allowance.record_demand(workspace.quota.cost(tokens), at_ms)


def reserve(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """Reserve quota for a request that is about to be sent."""
    allowance = _get_or_add_allowance(state, active.workspace, at_ms)
    if allowance is None:
        return
    active.cost = active.workspace.quota.cost(active.request.head.tokens)
    active.reserved = True
    allowance.spend(active.cost, at_ms)


def retry_wait_ms(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> int:
    """Return how long another run of a request must wait for its quota.

    The reservation made on arrival covers the first run; each further run
    that may have happened counts again.
    """
    if active.reserved or not active.cost:
        return 0
    tokens = active.request.head.tokens
    return wait_ms(state, active.workspace, tokens, at_ms)


def charge_run(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """Charge a request sent to an endpoint, reserving quota if needed."""
    if active.cost and not active.reserved:
        reserve(state, active, at_ms)
    active.reserved = False


def not_run(active: _state.ActiveRequest) -> None:
    """Restore the reservation of a request that is proven not to have run."""
    active.reserved = bool(active.cost)


def finish(state: _state.State, active: _state.ActiveRequest) -> None:
    """Give back quota that was reserved and not used."""
    if not active.reserved:
        return
    active.reserved = False
    allowance = state.allowances.get(active.workspace.name)
    if allowance is not None:
        allowance.refund(active.cost)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Report usage to the books when it is due."""
    if not state.allowances:
        return []
    since_ms = at_ms - state.quota_uses_reported_ms
    books = state.quota_books
    books_unchanged = books == state.quota_books_reported_to
    if since_ms < USE_REPORT_INTERVAL_MS and books_unchanged:
        return []
    _forget_undeclared(state)
    uses = tuple(
        allowance.current_usage(name, at_ms)
        for name, allowance in sorted(state.allowances.items())
    )
    unchanged = uses == state.quota_uses_reported and books_unchanged
    if unchanged and since_ms < IDLE_USE_REPORT_INTERVAL_MS:
        return []
    emitted: Effects = []
    if not books_unchanged:
        fields = (('books', ' '.join(books)), ('quotas', len(uses)))
        emitted.append(effects.Log('books of quotas chosen', fields))
    state.quota_books_reported_to = books
    state.quota_uses_reported = uses
    state.quota_uses_reported_ms = at_ms
    for allowance in state.allowances.values():
        allowance.gateways = state.gateways
        allowance.remove_stale_accounts(at_ms)
    report = messages.QuotaUses(uses)
    return emitted + [effects.Send(peer, report) for peer in books]


def apply_configuration(state: _state.State, at_ms: int) -> None:
    """Apply the quotas of a configuration that has just come into force.

    All of them are reported to the books, so that the usage of others is
    known before the first request of a workspace arrives.
    """
    configuration = state.follower.current
    for workspace in (
        configuration.declared_workspaces if configuration is not None else ()
    ):
        allowance = _get_or_add_allowance(state, workspace, at_ms)
        if allowance is not None:
            allowance.set_quota(workspace.quota)


def sums_received(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Apply the sums of all gateways' usage that a book has sent."""
    for quota_sum in event.message.sums:
        allowance = state.allowances.get(quota_sum.workspace)
        if allowance is not None:
            draw = jitter.fraction(state.seed, quota_sum.workspace)
            allowance.update_totals(
                event.peer, event.message.book, quota_sum, draw, event.at_ms
            )
    return []


def _get_or_add_allowance(
    state: _state.State,
    workspace: workspaces.Workspace | None,
    at_ms: int,
) -> workspaces.Allowance | None:
    if workspace is None or workspace.quota is None:
        return None
    allowance = state.allowances.get(workspace.name)
    if allowance is None:
        allowance = workspaces.Allowance(
            workspace.quota, at_ms, state.options.quota_tolerance
        )
        allowance.gateways = state.gateways
        state.allowances[workspace.name] = allowance
        state.quota_uses_reported_ms = clock.NEVER_MS
    return allowance


def _forget_undeclared(state: _state.State) -> None:
    configuration = state.follower.current
    limited = {
        w.name
        for w in configuration.declared_workspaces
        if w.quota is not None
    }
    for name in [n for n in state.allowances if n not in limited]:
        del state.allowances[name]


def choose_books(state: _state.State) -> None:
    """Choose the sidecars that keep books, among those linked now."""
    ranked = sorted(state.linked_sidecars, key=rendezvous.digest)
    state.quota_books = ranked[:BOOK_COUNT]
