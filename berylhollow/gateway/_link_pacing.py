"""When a link is tried, so that many gateways don't try all at once.

Guards against a herd: a rack or a region comes back and every gateway opens
every link in the same moment, or goes on asking at the pace of its ticks
while the rack is away. It shows as thousands of handshakes a second that
delay the work of those who are well. It holds since a link that is refused
again and again is tried ever more seldom, at moments that differ from
gateway to gateway, and a gateway opens only so many at a time.
"""

from berylhollow.gateway import _state
from berylhollow.util import spread

MAX_DOUBLINGS = 10


def pause_ms(state: _state.State, peer: str, refusals: int) -> int:
    """Return how long to wait after a link was refused so many times."""
    options = state.options
    doublings = min(max(0, refusals - 1), MAX_DOUBLINGS)
    longest_ms = options.link_retry_ms * 2**doublings
    longest_ms = min(longest_ms, options.link_retry_most_ms)
    return int(longest_ms * (0.5 + spread.fraction(state.seed, peer)))


def first_pause_ms(state: _state.State, peer: str) -> int:
    """Return how long to wait after a link that carried nothing broke."""
    fraction = spread.fraction(state.seed, peer)
    return int(state.options.link_spread_ms * fraction)


def room(state: _state.State) -> int:
    """Return how many more links may be opened now."""
    opening = len(state.peers_opening) + sum(
        endpoint.link is _state.LinkPhase.OPENING
        for endpoint in state.endpoints.values()
    )
    return max(0, state.options.links_opening - opening)


def in_own_order(state: _state.State, names: list[str]) -> list[str]:
    """Begin somewhere else than other gateways do.

    All read the same instance list; in its order they would all come to the
    same few sidecars first.
    """
    start = int(state.seed * len(names))
    return names[start:] + names[:start]
