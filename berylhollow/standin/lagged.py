"""A value that readers see late."""

import collections
import typing

Value = typing.TypeVar('Value')


class Lagged(typing.Generic[Value]):
    """Records a changing value and returns it as it was ``lag_ms`` ago."""

    def __init__(self, lag_ms: float, value: Value, now_ms: float):
        self.lag_ms = lag_ms
        self.last_read = value
        self.changes: collections.deque[tuple[float, Value]] = (
            collections.deque()
        )
        self.record(value, now_ms)

    def record(self, value: Value, now_ms: float) -> None:
        """Set the value as of now."""
        self.changes.append((now_ms, value))
        self.discard_older(now_ms)

    def read(self, now_ms: float) -> Value:
        """Return the value as of ``lag_ms`` ago; keep it as ``last_read``."""
        self.discard_older(now_ms)
        self.last_read = self.changes[0][1]
        return self.last_read

    def discard_older(self, now_ms: float) -> None:
        visible_ms = now_ms - self.lag_ms
        while len(self.changes) > 1 and self.changes[1][0] <= visible_ms:
            self.changes.popleft()
