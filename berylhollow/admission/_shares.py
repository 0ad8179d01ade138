"""How much reading time each workspace got, and what exceeds its share."""

import dataclasses
import math

TIME_CONSTANT_MS = 2000
MAX_EXCESS_MS = 400


@dataclasses.dataclass(slots=True)
class _DecayingSum:
    """A sum of milliseconds that decays with ``TIME_CONSTANT_MS``."""

    value_ms: float
    at_ms: int

    def decay(self, at_ms: int) -> float:
        """Let the sum decay to a time and return it."""
        if at_ms > self.at_ms:
            elapsed = (at_ms - self.at_ms) / TIME_CONSTANT_MS
            self.value_ms *= math.exp(-elapsed)
            self.at_ms = at_ms
        return self.value_ms


@dataclasses.dataclass(slots=True)
class _Workspace:
    got: _DecayingSum
    active_ms: int


class WorkspaceShares:
    """Reading time that was granted to each workspace, decayed.

    ``workspaces`` holds those that asked or were granted a request within
    ``TIME_CONSTANT_MS``, the longest inactive first.
    """

    def __init__(self):
        self.workspaces: dict[str, _Workspace] = {}
        self.total = _DecayingSum(0.0, 0)

    def touch(self, workspace: str, at_ms: int) -> None:
        """Note that a workspace is active."""
        self.grant(workspace, 0.0, at_ms)

    def grant(self, workspace: str, reading_ms: float, at_ms: int) -> None:
        """Count reading time that a workspace is granted."""
        self._forget_inactive(at_ms)
        entry = self.workspaces.pop(workspace, None)
        if entry is None:
            entry = _Workspace(_DecayingSum(0.0, at_ms), at_ms)
        entry.got.decay(at_ms)
        entry.got.value_ms += reading_ms
        entry.active_ms = at_ms
        self.workspaces[workspace] = entry
        self.total.decay(at_ms)
        self.total.value_ms += reading_ms

    def excess_ms(self, workspace: str, at_ms: int) -> float:
        """Return what a workspace got beyond its fair share, 0 to 400 ms."""
        self._forget_inactive(at_ms)
        entry = self.workspaces.get(workspace)
        if entry is None:
            return 0.0
        fair_ms = self.total.decay(at_ms) / len(self.workspaces)
        excess_ms = entry.got.decay(at_ms) - fair_ms
        return min(MAX_EXCESS_MS, max(0.0, excess_ms))

    def _forget_inactive(self, at_ms: int) -> None:
        while self.workspaces:
            name, entry = next(iter(self.workspaces.items()))
            if at_ms - entry.active_ms < TIME_CONSTANT_MS:
                break
            del self.workspaces[name]
            remaining = self.total.decay(at_ms) - entry.got.decay(at_ms)
            self.total.value_ms = max(0.0, remaining)
