"""The longest of the durations that were recorded lately."""

import dataclasses

WINDOW_MS = 60_000


@dataclasses.dataclass(slots=True)
class LongestDuration:
    """The longest duration in this window and the one before, in ms."""

    window: int = 0
    current_ms: int = 0
    previous_ms: int = 0

    def record(self, duration_ms: int, at_ms: int) -> None:
        """Record a duration that ended at a time."""
        self._move_to(at_ms)
        self.current_ms = max(1, self.current_ms, duration_ms)

    def at(self, at_ms: int) -> int | None:
        """Return the longest duration, at least 1 ms; None without one."""
        self._move_to(at_ms)
        return max(self.current_ms, self.previous_ms) or None

    def _move_to(self, at_ms: int) -> None:
        window = at_ms // WINDOW_MS
        if window == self.window:
            return
        is_next = window == self.window + 1
        self.previous_ms = self.current_ms if is_next else 0
        self.current_ms = 0
        self.window = window
