"""Retry budgets, which limit retries to a share of a caller's traffic.

Guards against retries that amplify an overload. When endpoints refuse
requests, each request would be sent several times and the endpoints would
spend their remaining capacity on refusals, so that goodput falls while offered
load rises. Each retry withdraws what several first attempts have deposited.
"""

from berylhollow.gateway import _state


def deposit(state: _state.State, active: _state.ActiveRequest) -> None:
    """Credit the budget with a first attempt's share of a retry."""
    key = _budget_key(state, active)
    options = state.options
    level = state.retry_budgets.get(key, options.retry_reserve)
    level = min(options.retry_reserve, level + options.retry_share)
    state.retry_budgets[key] = level


def retries_left(state: _state.State, active: _state.ActiveRequest) -> float:
    """Return how many retries the budget has left."""
    return state.retry_budgets.get(
        _budget_key(state, active), state.options.retry_reserve
    )


def try_withdraw(state: _state.State, active: _state.ActiveRequest) -> bool:
    """Withdraw one retry; return False if the budget is used up."""
    key = _budget_key(state, active)
    level = state.retry_budgets.get(key, state.options.retry_reserve)
    if level < 1:
        return False
    state.retry_budgets[key] = level - 1
    return True


def remove_unknown_callers(state: _state.State) -> None:
    """Drop the budgets of callers that the state no longer holds."""
    stale_keys = [
        key
        for key in state.retry_budgets
        if key[0] and key[0] not in state.callers
    ]
    for key in stale_keys:
        del state.retry_budgets[key]


def _budget_key(
    state: _state.State, active: _state.ActiveRequest
) -> tuple[str, str]:
    """Return the budget's key: the caller, or '' for all, and the service.

    Where the platform limits the retries of all callers together, separate
    reserves of many callers would add up to more than its limit.
    """
    caller = active.request.caller if state.options.budget_by_caller else ''
    return caller, active.service
