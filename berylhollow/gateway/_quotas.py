"""Quotas of workspaces: what this gateway may let through of each.

A few sidecars keep books of what all gateways have used. All gateways rank
them alike, tell each of them what they have spent and hear the sums. None of
this is on the path of a request.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.policy import rendezvous
from berylhollow.util import spread
from berylhollow import workspaces

Effects = list[effects.Effect]

BOOKS = 2
"""Sidecars that keep books for us. Gateways that know of one more or one less
of them still have one in common."""

TELL_MS = 200
"""Between two words of what was spent. What is spent meanwhile elsewhere is
not seen, and is missing afterwards."""

IDLE_TELL_MS = 600
"""Between two words where nothing was asked for, before sums are stale."""


def wait_ms(
    state: _state.State,
    workspace: workspaces.Workspace | None,
    tokens: int,
    at_ms: int,
) -> int:
    """Return when a request may come back for its quota, 0 if it is in it."""
    allowance = _allowance(state, workspace, at_ms)
    if allowance is None:
        return 0
    return allowance.wait_ms(workspace.quota.cost(tokens), at_ms)


def ask(
    state: _state.State,
    workspace: workspaces.Workspace | None,
    tokens: int,
    at_ms: int,
) -> None:
    """Count what is asked for, whether it is let through or not."""
    allowance = _allowance(state, workspace, at_ms)
    if allowance is not None:
        allowance.ask(workspace.quota.cost(tokens), at_ms)


def reserve(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """Count a request that is going to be sent on."""
    allowance = _allowance(state, active.workspace, at_ms)
    if allowance is None:
        return
    active.cost = active.workspace.quota.cost(active.request.head.tokens)
    active.reserved = True
    allowance.spend(active.cost, at_ms)


def over(state: _state.State, active: _state.ActiveRequest, at_ms: int) -> int:
    """Return how long another run of a request has to wait for its quota.

    The first one was reserved for when it came; each that may have run
    counts.
    """
    if active.reserved or not active.cost:
        return 0
    tokens = active.request.head.tokens
    return wait_ms(state, active.workspace, tokens, at_ms)


def sent_on(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """A request is sent to an endpoint."""
    if active.cost and not active.reserved:
        reserve(state, active, at_ms)
    active.reserved = False


def not_run(active: _state.ActiveRequest) -> None:
    """An endpoint has proven that it did not run what was sent."""
    active.reserved = bool(active.cost)


def finish(state: _state.State, active: _state.ActiveRequest) -> None:
    """Give back what was reserved and not used."""
    if not active.reserved:
        return
    active.reserved = False
    allowance = state.allowances.get(active.workspace.name)
    if allowance is not None:
        allowance.give_back(active.cost)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Tell the books what was spent, when it is time."""
    if not state.allowances:
        return []
    since_ms = at_ms - state.quotas_told_ms
    books = state.quota_books
    is_told = books == state.quota_books_told
    if since_ms < TELL_MS and is_told:
        return []
    _forget_undeclared(state)
    uses = tuple(
        allowance.use(name, at_ms)
        for name, allowance in sorted(state.allowances.items())
    )
    same = uses == state.quotas_told and is_told
    if same and since_ms < IDLE_TELL_MS:
        return []
    done: Effects = []
    if not is_told:
        fields = (('books', ' '.join(books)), ('quotas', len(uses)))
        done.append(effects.Log('books of quotas chosen', fields))
    state.quota_books_told = books
    state.quotas_told = uses
    state.quotas_told_ms = at_ms
    for allowance in state.allowances.values():
        allowance.gateways = state.gateways
        allowance.forget_stale(at_ms)
    word = messages.QuotaUses(uses)
    return done + [effects.Send(peer, word) for peer in books]


def declared(state: _state.State, at_ms: int) -> None:
    """Take the quotas of the configuration that is newly in force.

    Books are told of all of them, so that what others have spent is known
    before the first request for a workspace comes.
    """
    view = state.follower.current
    for workspace in view.declared_workspaces if view is not None else ():
        allowance = _allowance(state, workspace, at_ms)
        if allowance is not None:
            allowance.declare(workspace.quota)


def heard(state: _state.State, event: events.MessageReceived) -> Effects:
    """A book says what all have spent."""
    for found in event.message.sums:
        allowance = state.allowances.get(found.workspace)
        if allowance is not None:
            draw = spread.fraction(state.seed, found.workspace)
            allowance.heard(
                event.peer, event.message.book, found, draw, event.at_ms
            )
    return []


def _allowance(
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
        state.quotas_told_ms = clock.NEVER_MS
    return allowance


def _forget_undeclared(state: _state.State) -> None:
    view = state.follower.current
    limited = {w.name for w in view.declared_workspaces if w.quota is not None}
    for name in [n for n in state.allowances if n not in limited]:
        del state.allowances[name]


def choose(state: _state.State) -> None:
    """Choose the sidecars that keep books, of those linked now."""
    linked = [
        peer
        for peer, sidecar in state.sidecars.items()
        if sidecar.link is _state.LinkPhase.OPEN
    ]
    state.quota_books = sorted(linked, key=rendezvous.digest)[:BOOKS]
