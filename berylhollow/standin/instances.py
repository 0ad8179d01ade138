"""Model of the platform's instance list, which shows changes late."""

import collections
import dataclasses

from berylhollow import log_service
from berylhollow.standin import faults

DEFAULT_LAG_MS = 2000


@dataclasses.dataclass(frozen=True)
class Change:
    """A change not visible yet; ``entry`` None removes the instance."""

    visible_ms: int
    instance: str
    entry: log_service.Instance | None


class InstanceListModel:
    """An instance list whose changes become visible after a lag."""

    def __init__(
        self,
        lag_ms: int = DEFAULT_LAG_MS,
        switches: faults.FaultSwitches | None = None,
    ):
        self.lag_ms = lag_ms
        self.faults = switches or faults.FaultSwitches()
        self.changes: collections.deque[Change] = collections.deque()
        self.entries: dict[str, log_service.Instance] = {}

    def put(self, entry: log_service.Instance, now_ms: int) -> None:
        """Register an instance or change its entry."""
        self.changes.append(
            Change(now_ms + self.lag_ms, entry.instance, entry)
        )

    def delete(self, instance: str, now_ms: int) -> None:
        """Remove an instance; an unknown one is ignored."""
        self.changes.append(Change(now_ms + self.lag_ms, instance, None))

    def visible(self, now_ms: int) -> tuple[log_service.Instance, ...]:
        """Return the visible entries, sorted by instance.

        A frozen list returns its last visible entries.
        """
        if not self.faults.active(
            faults.PlatformFault.INSTANCES_FROZEN, now_ms
        ):
            self.apply_until(now_ms)
        return tuple(self.entries[name] for name in sorted(self.entries))

    def apply_until(self, now_ms: int) -> None:
        while self.changes and self.changes[0].visible_ms <= now_ms:
            change = self.changes.popleft()
            if change.entry is None:
                self.entries.pop(change.instance, None)
            else:
                self.entries[change.instance] = change.entry
