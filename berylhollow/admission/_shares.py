"""How much reading time each workspace got, and what exceeds its share."""

import dataclasses

from berylhollow.util import decay

TIME_CONSTANT_MS = 2000
MAX_EXCESS_MS = 400


@dataclasses.dataclass(slots=True)
class _Workspace:
    got_ms: decay.DecayedValue
    active_ms: int


class WorkspaceShares:
    """Reading time that was granted to each workspace, decayed.

    ``workspaces`` holds those that asked or were granted a request within
    ``TIME_CONSTANT_MS``, the longest inactive first.
    """

    def __init__(self):
        self.workspaces: dict[str, _Workspace] = {}
        self.total_ms = decay.DecayedValue()

    def touch(self, workspace: str, at_ms: int) -> None:
        """Note that a workspace is active."""
        self.grant(workspace, 0.0, at_ms)

    def grant(self, workspace: str, reading_ms: float, at_ms: int) -> None:
        """Count reading time that a workspace is granted."""
        self._forget_inactive(at_ms)
        entry = self.workspaces.pop(workspace, None)
        if entry is None:
            entry = _Workspace(decay.DecayedValue(), at_ms)
        entry.got_ms.add(reading_ms, at_ms, TIME_CONSTANT_MS)
        entry.active_ms = at_ms
        self.workspaces[workspace] = entry
        self.total_ms.add(reading_ms, at_ms, TIME_CONSTANT_MS)

    def excess_ms(self, workspace: str, at_ms: int) -> float:
        """Return what a workspace got beyond its fair share, 0 to 400 ms."""
        self._forget_inactive(at_ms)
        entry = self.workspaces.get(workspace)
        if entry is None:
            return 0.0
        total_ms = self.total_ms.value_at(at_ms, TIME_CONSTANT_MS)
        got_ms = entry.got_ms.value_at(at_ms, TIME_CONSTANT_MS)
        excess_ms = got_ms - total_ms / len(self.workspaces)
        return min(MAX_EXCESS_MS, max(0.0, excess_ms))

    def _forget_inactive(self, at_ms: int) -> None:
        while self.workspaces:
            name, entry = next(iter(self.workspaces.items()))
            if at_ms - entry.active_ms < TIME_CONSTANT_MS:
                break
            del self.workspaces[name]
            got_ms = entry.got_ms.value_at(at_ms, TIME_CONSTANT_MS)
            total_ms = self.total_ms.value_at(at_ms, TIME_CONSTANT_MS)
            left_ms = max(0.0, total_ms - got_ms)
            self.total_ms = decay.DecayedValue(left_ms, at_ms)
