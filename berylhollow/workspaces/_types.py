"""Declarations of workspaces and quotas, as frozen data."""

import dataclasses
import enum


class Unit(enum.Enum):
    """The unit that a quota is counted in."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What a workspace may use over all gateways together.

    ``rate_per_s`` and ``burst`` are in ``unit``. A request that does not
    state its number of tokens counts as ``plain_tokens``.
    """

    unit: Unit
    rate_per_s: float
    burst: float
    plain_tokens: int = 0

    @property
    def capacity(self) -> float:
        """The bucket's capacity: the burst, at least half a second's rate."""
        return max(1.0, self.burst, self.rate_per_s / 2)

    def cost(self, tokens: int) -> int:
        """Return the cost of a request; ``tokens`` is 0 if unknown."""
        if self.unit is Unit.REQUESTS:
            return 1
        return tokens or self.plain_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a quota may be exceeded over all gateways together.

    In any ``window_s`` seconds the rate and the burst may be exceeded by
    ``overrun`` times their sum, plus ``slack`` in the unit of the quota.
    """

    window_s: float = 1.0
    overrun: float = 0.0
    slack: float = 0.0

    def allowed_excess(self, quota: Quota) -> float:
        """Return by how much a quota may be exceeded in a window."""
        nominal = quota.rate_per_s * self.window_s + quota.burst
        return self.overrun * nominal + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and the digests of its keys.

    ``priority`` overrides that of the route unless it is None. Without a
    ``quota`` usage is not limited.
    """

    name: str
    keys: frozenset[bytes] = frozenset()
    priority: int | None = None
    quota: Quota | None = None
