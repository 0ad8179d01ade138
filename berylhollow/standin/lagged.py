"""A value that others see late."""

import collections
import typing

Value = typing.TypeVar('Value')


class Lagged(typing.Generic[Value]):
    """Remember a changing value and show it as it was ``lag_ms`` ago."""

    def __init__(self, lag_ms: float, value: Value, now_ms: float):
        self.lag_ms = lag_ms
        self.shown = value
        self.changes: collections.deque[tuple[float, Value]] = (
            collections.deque()
        )
        self.note(value, now_ms)

    def note(self, value: Value, now_ms: float) -> None:
        """Set the value as of now."""
        self.changes.append((now_ms, value))
        self.forget(now_ms)

    def show(self, now_ms: float) -> Value:
        """Return the value that is seen now, and remember it as shown."""
        self.forget(now_ms)
        self.shown = self.changes[0][1]
        return self.shown

    def forget(self, now_ms: float) -> None:
        seen_ms = now_ms - self.lag_ms
        while len(self.changes) > 1 and self.changes[1][0] <= seen_ms:
            self.changes.popleft()
