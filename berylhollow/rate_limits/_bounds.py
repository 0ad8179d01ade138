"""How exactly a rate limit has to hold over all gateways together.

In any ``WINDOW_S`` seconds an endpoint may get its rate, ``SPARE_SHARE`` of it
more and ``SPARE_REQUESTS``. A loan that is used at its end was lent up to
``LOAN_MS`` before the window, so that the lender's bucket may hold

    rate * (WINDOW_S * SPARE_SHARE - LOAN_MS / 1000) + SPARE_REQUESTS

requests, which is the rate and five. It holds less: what is left is for
requests that are slow on their way, and for two lenders during a moment.
"""

WINDOW_S = 4
SPARE_SHARE = 0.5
SPARE_REQUESTS = 5

LOAN_MS = 1000
"""For how long what was lent may be used, from when it was asked for."""

LEAST_RATE_PER_S = 0.1
"""Of an endpoint that takes less: an answer now and then tells when it takes
more. The spare requests of the bound are far more."""


def effective(rate_per_s: float) -> float:
    """Return the rate that is shared out."""
    return max(rate_per_s, LEAST_RATE_PER_S)


def capacity(rate_per_s: float) -> float:
    """Return how many requests may be lent at one moment."""
    return 1 + rate_per_s / 2


def most_apart(rate_per_s: float) -> float:
    """Return how many gateways may each keep a part of a rate by themselves.

    Each may save up one request; together with the rate these must fit into
    the bound.
    """
    return rate_per_s * WINDOW_S * SPARE_SHARE + SPARE_REQUESTS
