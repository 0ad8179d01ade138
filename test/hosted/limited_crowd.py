"""A simulated crowd of gateways whose endpoints name rate limits.

The bound is the users' requirement. In any four seconds, from ``CONTACT_MS``
after an endpoint first named its limit, gateways that have known the limit for
at least half a second send no more than one and a half times the limit plus
five requests. Here it also covers gateways that were disconnected, stalled or
restarted since, unless they are in ``excused``.
"""

import bisect
import collections
import dataclasses

from berylhollow import events
from test.hosted import crowd

CONTACT_MS = 3000
WINDOW_MS = 4000
TOLD_MS = 500
TOLERANCE = 1.5
SLACK = 5
UNKNOWN_MS = 10**9


@dataclasses.dataclass(frozen=True)
class LimitedLoad(crowd.Load):
    """A load whose first ``limited`` endpoints name a rate limit.

    They do so from ``named_ms`` until ``ended_ms``. The last ``leaving``
    endpoints say from ``named_ms`` on that they are leaving. Every
    ``burst_ms``, if not 0, ``burst`` requests arrive at the same moment.
    """

    limited: int = 3
    rate_per_s: float = 1.0
    named_ms: int = 3000
    ended_ms: int = UNKNOWN_MS
    burst_ms: int = 0
    burst: int = 0
    leaving: int = 0


class LimitedCrowd(crowd.Crowd):
    """Counts the requests of endpoints that have named a rate limit.

    ``limit_told_ms`` is when a gateway first received an answer that names
    the limit of an endpoint, by gateway and endpoint; ``leaving_told_ms`` is
    the same for an endpoint that says it is leaving. ``requests_sent`` has
    the time and gateway of each request, by endpoint.
    """

    def __init__(self, load: LimitedLoad, **sidecar_options):
        self.limit_told_ms: dict[tuple[str, str], int] = {}
        self.requests_sent = collections.defaultdict(list)
        self.leaving_told_ms: dict[tuple[str, str], int] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self.excused: set[str] = set()
        super().__init__(load, **sidecar_options)

    # Measurements

    def limit_of(self, name: str) -> float | None:
        load = self.load
        number = list(self.endpoints).index(name)
        if not load.named_ms <= self.now_ms < load.ended_ms:
            return None
        return load.rate_per_s if number < load.limited else None

    def most_in_window(self, name: str) -> int:
        """Return the most requests of an endpoint in a window of the bound."""
        first_ms = self.load.named_ms + CONTACT_MS
        last_ms = self.load.ended_ms
        times = [
            at_ms
            for at_ms, gateway in self.requests_sent[name]
            if first_ms <= at_ms < last_ms
            and gateway not in self.excused
            and at_ms
            >= self.limit_told_ms.get((gateway, name), UNKNOWN_MS) + TOLD_MS
        ]
        return max(
            (
                bisect.bisect_left(times, at_ms + WINDOW_MS) - index
                for index, at_ms in enumerate(times)
            ),
            default=0,
        )

    def is_leaving(self, name: str) -> bool:
        last = list(self.endpoints)[::-1][: self.load.leaving]
        return name in last and self.now_ms >= self.load.named_ms

    def sent_to_leaving(self) -> list[tuple[int, str]]:
        """Return what was sent to endpoints known to be leaving."""
        return [
            (at_ms, gateway)
            for (gateway, name), told_ms in self.leaving_told_ms.items()
            for at_ms, sender in self.requests_sent[name]
            if sender == gateway and at_ms > told_ms + crowd.LINK_MS
        ]

    @property
    def worst_excess(self) -> float:
        """Return by how much the worst endpoint exceeds the bound."""
        allowed = TOLERANCE * self.load.rate_per_s * WINDOW_MS / 1000 + SLACK
        return (
            max(self.most_in_window(name) for name in self.limited) - allowed
        )

    @property
    def limited(self) -> list[str]:
        return list(self.endpoints)[: self.load.limited]

    def used_share(self, name: str) -> float:
        """Return the share of a limit that was used while it was in force."""
        start_ms = self.load.named_ms + CONTACT_MS
        end_ms = min(self.load.ended_ms, self.load.duration_ms)
        count = sum(
            start_ms <= at_ms < end_ms for at_ms, _ in self.requests_sent[name]
        )
        return count / (self.load.rate_per_s * (end_ms - start_ms) / 1000)

    # Load

    def arrivals(self):
        yield from super().arrivals()
        load = self.load
        if load.burst_ms:
            for at_ms in range(load.burst_ms, load.duration_ms, load.burst_ms):
                for number in range(load.burst):
                    yield at_ms, f'a{number % 25 + 1}'

    def offer(self, name, effect):
        self.requests_sent[effect.peer].append((self.now_ms, name))
        super().offer(name, effect)

    def tell(self, name, peer, message):
        """Add the endpoint's notice to each answer to a request."""
        sent_ms = self.sent_ms(name, message.attempt_id)
        rate_per_s = self.limit_of(peer)
        if rate_per_s is not None:
            self.limit_told_ms.setdefault((name, peer), self.now_ms)
        leaving = self.is_leaving(peer)
        if leaving:
            self.leaving_told_ms.setdefault((name, peer), self.now_ms)
        notice = events.EndpointNotice(leaving, rate_per_s)
        received = events.NoticeReceived(self.now_ms, peer, sent_ms, notice)
        self.feed_gateway(name, received)
        super().tell(name, peer, message)

    def sent_ms(self, name, attempt_id: str) -> int:
        active = self.gateways[name].request_of(attempt_id)
        return self.now_ms if active is None else active.offered_ms

    # Failures

    def restart_gateway(self, name: str) -> None:
        """Replace a gateway process; its state and requests are lost."""
        state = crowd.gateway_state(name)
        self.gateways[name] = state
        for peer in self.sidecars:
            closed = events.LinkClosed(self.now_ms, name)
            self.feed_sidecar(peer, closed)
            self.limit_told_ms.pop((name, self.beside[peer].name), None)
        self.start_gateway(name)

    def restart_sidecar(self, peer: str) -> None:
        self.sidecars[peer] = self.sidecar_state(peer)
        self.start_sidecar(peer)
        for name in self.gateways:
            self.feed_gateway(name, events.LinkClosed(self.now_ms, peer))

    def cut_links(self, pairs) -> None:
        """Drop all messages between pairs of a gateway and a sidecar."""
        self.cut_pairs |= set(pairs)

    def heal_links(self) -> None:
        healed, self.cut_pairs = self.cut_pairs, set()
        for name, peer in sorted(healed):
            self.feed_gateway(name, events.LinkClosed(self.now_ms, peer))
            self.feed_sidecar(peer, events.LinkClosed(self.now_ms, name))

    def link(self, name, peer):
        if (name, peer) in self.cut_pairs:
            refused = events.LinkRefused(self.now_ms, peer)
            self.feed_gateway(name, refused)
        else:
            super().link(name, peer)

    def to_sidecar(self, name, effect):
        if (name, effect.peer) not in self.cut_pairs:
            super().to_sidecar(name, effect)

    def carry_out_sidecar(self, peer, effect):
        if (getattr(effect, 'peer', ''), peer) not in self.cut_pairs:
            super().carry_out_sidecar(peer, effect)
