"""What is declared of a workspace, as frozen data."""

import dataclasses
import enum


class Unit(enum.Enum):
    """What a quota counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What a workspace may use over all gateways together.

    ``rate_per_s`` and ``burst`` are in ``unit``. A request that does not tell
    its tokens counts as ``plain_tokens``.
    """

    unit: Unit
    rate_per_s: float
    burst: float
    plain_tokens: int = 0

    @property
    def capacity(self) -> float:
        """What a bucket holds: the burst, or half a second's worth."""
        return max(1.0, self.burst, self.rate_per_s / 2)

    def cost(self, tokens: int) -> int:
        """Return what a request of so many tokens, 0 if unknown, counts."""
        if self.unit is Unit.REQUESTS:
            return 1
        return tokens or self.plain_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """How exactly quotas have to hold over all gateways together.

    In any ``window_s`` seconds more than the rate and the burst come to may be
    used: ``overrun`` times that, and ``slack`` in the unit of the quota.
    """

    window_s: float = 1.0
    overrun: float = 0.0
    slack: float = 0.0

    def of(self, quota: Quota) -> float:
        """Return how much more may be used of a quota in a window."""
        most = quota.rate_per_s * self.window_s + quota.burst
        return self.overrun * most + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and the digests of its keys.

    ``priority`` goes before that of a route, None leaves it to the route;
    without a ``quota`` it is not limited.
    """

    name: str
    keys: frozenset[bytes] = frozenset()
    priority: int | None = None
    quota: Quota | None = None
