"""How exactly a rate limit has to hold over all gateways together.

In any ``WINDOW_S`` seconds an endpoint may get its rate, ``SPARE_SHARE`` of it
more, and ``SPARE_REQUESTS``. A loan that is used just before it expires was
made up to ``LOAN_MS`` before the window, so that the lender's token bucket may
hold

    rate * (WINDOW_S * SPARE_SHARE - LOAN_MS / 1000) + SPARE_REQUESTS

requests, which is the rate plus five. It holds less: the rest is a margin for
requests that are slow on their way, and for a moment with two lenders.
"""

WINDOW_S = 4
SPARE_SHARE = 0.5
SPARE_REQUESTS = 5

LOAN_MS = 1000
"""How long a loan may be used, from the time it was requested."""

MIN_RATE_PER_S = 0.1
"""Rate used for an endpoint with a lower limit. Its answer to an occasional
request tells when the limit is raised. This is far less than the spare
requests of the bound."""


def effective_rate(rate_per_s: float) -> float:
    """Return the rate that is lent out for an endpoint's limit."""
    return max(rate_per_s, MIN_RATE_PER_S)


def capacity(rate_per_s: float) -> float:
    """Return the capacity of a lender's token bucket."""
    return 1 + rate_per_s / 2


def max_gateways_without_lender(rate_per_s: float) -> float:
    """Return how many gateways may use a part of a rate without a lender.

    Each of them may save up one request; together with the rate these must
    fit into the bound.
    """
    return rate_per_s * WINDOW_S * SPARE_SHARE + SPARE_REQUESTS
