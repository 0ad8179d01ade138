"""Runs that were cut off at endpoints which may have ended.

The instance list shows the end of an endpoint up to some seconds later. Until
then a loss is unsettled: the endpoint may have ended, or only the connection.
"""

import collections.abc
import dataclasses

from berylhollow import clock
from berylhollow import messages
from berylhollow.quarantine import _keys

MAX_FINGERPRINTS = 4096

AT_ONCE_MS = 50
"""An endpoint that ends cuts off all its runs within this time."""

TOLD_SOUND_MS = 10
"""Within this time the other gateways tell that they know a part to be sound:
the loss and its clearing pass two links each."""

SEEN_ALIVE_MS = 350
"""After this time the other gateways would have told that an endpoint lives
on that has cut off a run."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnsettledLoss:
    """A loss of a run that was sent at ``began_ms``, ``is_probe`` as a probe.

    ``is_own`` says that this process lost it. Other losses are told with a
    delay, so that both times are somewhat late.
    """

    lost_ms: int
    is_probe: bool
    began_ms: int
    is_own: bool = False


class UnsettledLosses:
    """The unsettled losses by key and endpoint; bounded.

    A loss is forgotten after ``ttl_ms``, in milliseconds.
    """

    def __init__(self, ttl_ms: int):
        self.ttl_ms = ttl_ms
        self.losses: dict[str, dict[str, UnsettledLoss]] = {}
        self.at_endpoint: dict[str, dict[str, UnsettledLoss]] = {}

    def add(
        self,
        fingerprint: str,
        endpoint: str,
        is_probe: bool,
        at_ms: int,
        ran_ms: int = 0,
        is_own: bool = False,
    ) -> None:
        """Add a run that was cut off at an endpoint after ``ran_ms``.

        What shows that the endpoint outlived the run has to show it for the
        first one that is unsettled there.
        """
        loss = UnsettledLoss(at_ms, is_probe, at_ms - ran_ms, is_own)
        first = self.losses.get(fingerprint, {}).get(endpoint)
        if (
            first is not None
            and at_ms < first.lost_ms + self.ttl_ms
            and first.began_ms < loss.began_ms
        ):
            loss = dataclasses.replace(
                loss, began_ms=first.began_ms, is_own=first.is_own
            )
        self.losses.setdefault(fingerprint, {})[endpoint] = loss
        self.at_endpoint.setdefault(endpoint, {})[fingerprint] = loss
        while len(self.losses) > MAX_FINGERPRINTS:
            oldest = next(iter(self.losses))
            self.settle(oldest, *self.losses[oldest])

    def endpoints(self, fingerprint: str, at_ms: int) -> tuple[str, ...]:
        """Return the endpoints that a request was lost at."""
        return tuple(
            endpoint
            for endpoint, loss in self.losses.get(fingerprint, {}).items()
            if at_ms < loss.lost_ms + self.ttl_ms
        )

    def probed(self, fingerprint: str, at_ms: int) -> tuple[str, ...]:
        """Return the endpoints that a probe of a request was lost at."""
        losses = self.losses.get(fingerprint, {})
        return tuple(
            endpoint
            for endpoint in self.endpoints(fingerprint, at_ms)
            if losses[endpoint].is_probe
        )

    def endpoints_lost(self, until_ms: int) -> set[str]:
        """Return the endpoints that runs were lost at by a time."""
        return {
            endpoint
            for endpoint, losses in self.at_endpoint.items()
            if any(loss.lost_ms <= until_ms for loss in losses.values())
        }

    def has_likely_ended(self, endpoint: str, at_ms: int) -> bool:
        """Tell whether an endpoint has likely ended, not broken off a run.

        It has if it cut several runs at once, or if nobody has seen it alive
        for some time since.
        """
        lost_ms = [
            loss.lost_ms
            for key, loss in self.at_endpoint.get(endpoint, {}).items()
            if not _keys.is_part(key)
        ]
        if not lost_ms:
            return False
        newest_ms = max(lost_ms)
        at_once = sum(newest_ms - x <= AT_ONCE_MS for x in lost_ms)
        wait_ms = TOLD_SOUND_MS if at_once > 1 else SEEN_ALIVE_MS
        return at_ms >= newest_ms + wait_ms

    def keys_at(self, endpoint: str) -> list[str]:
        """Return the keys that were lost at an endpoint."""
        return list(self.at_endpoint.get(endpoint, ()))

    def loss(self, fingerprint: str, endpoint: str) -> UnsettledLoss:
        """Return the last loss of a request at an endpoint."""
        return self.losses[fingerprint][endpoint]

    def lost_ms(self, fingerprint: str, endpoint: str) -> int:
        """Return when a request was last lost at an endpoint."""
        return self.losses[fingerprint][endpoint].lost_ms

    def has_others(
        self, endpoint: str, fingerprints: collections.abc.Collection[str]
    ) -> bool:
        """Tell whether other requests were lost at an endpoint, too."""
        return any(
            self._is_other(fingerprint, fingerprints)
            for fingerprint in self.at_endpoint.get(endpoint, ())
        )

    def has_others_at_end(
        self,
        endpoint: str,
        fingerprints: collections.abc.Collection[str],
        lost_ms: int,
        within_ms: int,
    ) -> bool:
        """Tell whether other requests were lost as an endpoint ended.

        A gateway that has not read of a new start books its losses for the
        start before. So losses of another start of the same name count if
        they were at the time of the end: no two starts end so close.
        """
        if self.has_others(endpoint, fingerprints):
            return True
        name = messages.Incarnation.name_in(endpoint)
        return any(
            abs(loss.lost_ms - lost_ms) <= within_ms
            for other, losses in self.at_endpoint.items()
            if messages.Incarnation.name_in(other) == name
            for fingerprint, loss in losses.items()
            if self._is_other(fingerprint, fingerprints)
        )

    def _is_other(
        self, fingerprint: str, fingerprints: collections.abc.Collection[str]
    ) -> bool:
        return not (fingerprint in fingerprints or _keys.is_part(fingerprint))

    def last_lost_ms(self, endpoint: str) -> int:
        """Return when a run was last lost at an endpoint."""
        losses = self.at_endpoint.get(endpoint, {}).values()
        return max((x.lost_ms for x in losses), default=clock.NEVER_MS)

    def settle_endpoint(self, endpoint: str) -> None:
        """Drop all losses at an endpoint."""
        for fingerprint in self.keys_at(endpoint):
            self.settle(fingerprint, endpoint)

    def settle(self, fingerprint: str, *endpoints: str) -> None:
        """Drop the losses of a request at endpoints."""
        losses = self.losses.get(fingerprint)
        if losses is None:
            return
        for endpoint in endpoints:
            if losses.pop(endpoint, None) is None:
                continue
            del self.at_endpoint[endpoint][fingerprint]
            if not self.at_endpoint[endpoint]:
                del self.at_endpoint[endpoint]
        if not losses:
            del self.losses[fingerprint]

    def forget_expired(self, at_ms: int) -> None:
        """Drop the losses that have expired."""
        for fingerprint in list(self.losses):
            kept = self.endpoints(fingerprint, at_ms)
            self.settle(
                fingerprint, *(set(self.losses[fingerprint]) - set(kept))
            )
