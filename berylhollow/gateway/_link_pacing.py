"""Back-off, jitter and a limit for the links that a gateway opens.

Guards against a thundering herd: a rack or a region comes back and every
gateway opens every link at the same moment, or retries at every tick while
the rack is away. The thousands of handshakes a second would delay work at
healthy endpoints. Retries of a refused link therefore back off, at times
that differ between gateways, and a gateway opens a limited number of links
at once.
"""

from berylhollow.gateway import _state
from berylhollow.util import jitter

MAX_DOUBLINGS = 10


def pause_ms(state: _state.State, peer: str, refusals: int) -> int:
    """Return the back-off after so many refusals, with jitter."""
    options = state.options
    doublings = min(max(0, refusals - 1), MAX_DOUBLINGS)
    backoff_ms = options.link_retry_ms * 2**doublings
    backoff_ms = min(backoff_ms, options.link_retry_most_ms)
    return int(backoff_ms * (0.5 + jitter.fraction(state.seed, peer)))


def first_pause_ms(state: _state.State, peer: str) -> int:
    """Return the pause before an idle link that broke is reopened."""
    fraction = jitter.fraction(state.seed, peer)
    return int(state.options.link_spread_ms * fraction)


def opening_capacity(state: _state.State) -> int:
    """Return how many more links may be opening at once."""
    opening = len(state.peer_links_opening) + sum(
        endpoint.link is _state.LinkPhase.OPENING
        for endpoint in state.endpoints.values()
    )
    return max(0, state.options.links_opening - opening)


def rotate(state: _state.State, names: list[str]) -> list[str]:
    """Return the names rotated to a start that differs between gateways.

    All gateways read the same instance list. In its order they would all
    open links to the same few sidecars first.
    """
    start = int(state.seed * len(names))
    return names[start:] + names[:start]
