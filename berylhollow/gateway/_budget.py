"""Retry budgets: retries are a share of a caller's traffic to a service.

Guards against retries that feed an overload: with endpoints refusing, each
request would come several times, and the endpoints would spend what is left
of them on refusals. It shows as goodput that falls while offered load rises.
The share holds, since every retry takes what several first attempts paid in.
"""

from berylhollow.gateway import _state


def paid_in(state: _state.State, active: _state.ActiveRequest) -> None:
    """Count a first attempt: it pays for a share of a retry."""
    key = _key(state, active)
    options = state.options
    level = state.retry_budgets.get(key, options.retry_reserve)
    level = min(options.retry_reserve, level + options.retry_share)
    state.retry_budgets[key] = level


def level(state: _state.State, active: _state.ActiveRequest) -> float:
    """Return how many retries are left."""
    return state.retry_budgets.get(
        _key(state, active), state.options.retry_reserve
    )


def take(state: _state.State, active: _state.ActiveRequest) -> bool:
    """Take one retry from the budget; False if it is used up."""
    key = _key(state, active)
    level = state.retry_budgets.get(key, state.options.retry_reserve)
    if level < 1:
        return False
    state.retry_budgets[key] = level - 1
    return True


def forget(state: _state.State) -> None:
    """Drop the budgets of callers that are no longer known."""
    gone = [
        key
        for key in state.retry_budgets
        if key[0] and key[0] not in state.callers
    ]
    for key in gone:
        del state.retry_budgets[key]


def _key(state: _state.State, active: _state.ActiveRequest) -> tuple[str, str]:
    """Return whose budget it is: a caller's, or that of all together.

    Where the platform bounds all repeats together, a reserve for each of
    many callers would add up to more.
    """
    caller = active.request.caller if state.options.budget_by_caller else ''
    return caller, active.service
