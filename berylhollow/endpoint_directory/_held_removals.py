"""Hold back removals that may only be entries that expired in an outage."""

import collections

REMOVAL_HOLD_MS = 2300
"""How long after an outage of the store expired entries stay in use.

The platform lists every live endpoint again within two seconds. Without this
delay a service would lose all its endpoints when the store comes back, and
callers would get a burst of refusals after each outage.
"""

EXTRA_WRITES = 1
"""Entries that an endpoint may write between two heartbeats: it writes at once
when it starts or leaves."""


class HeldRemovals:
    """Removals that are held back, by name, as a pure state machine.

    A live endpoint writes its entry again within ``hold_ms`` of the store's
    return. The time of that return is not known here: only the time of our
    first successful read is, and we may have been cut off alone while the
    store served everyone else. A removal is therefore held back until one of
    two conditions is met: ``hold_ms`` have passed since our first read, or as
    much time has passed at the store. The second is known once any one
    endpoint has written enough heartbeats, ``heartbeat_ms`` apart, after the
    removal. If ``heartbeat_ms`` is 0, only the first condition counts.

    ``until_ms`` is when ``hold_ms`` have passed. ``held`` maps each name to
    the offset of its removal. ``offsets_by_writer`` maps each writer to the
    offsets of the newest entries that it wrote while removals were held back.
    """

    def __init__(self, hold_ms: int = REMOVAL_HOLD_MS, heartbeat_ms: int = 0):
        self.hold_ms = hold_ms
        self.writes_needed = 0
        if heartbeat_ms:
            heartbeats = -(-hold_ms // heartbeat_ms)
            self.writes_needed = heartbeats + 1 + EXTRA_WRITES
        self.until_ms = 0
        self.held: dict[str, int] = {}
        self.offsets_by_writer: dict[str, collections.deque[int]] = {}

    def restart_holds(self, at_ms: int) -> None:
        """Start all holds anew, at the first read after an outage."""
        self.until_ms = at_ms + self.hold_ms

    def log_restored(self, at_ms: int, next_offset: int) -> None:
        """Start all holds anew after the log was restored from an older copy.

        Offsets are reused from ``next_offset`` on, so only entries written
        from there on can confirm the removals.
        """
        self.restart_holds(at_ms)
        self.offsets_by_writer.clear()
        self.held = dict.fromkeys(self.held, next_offset)

    def may_have_expired(self, at_ms: int) -> bool:
        """Tell whether a removal read now may be an entry that expired."""
        return at_ms < self.until_ms

    def hold_back(self, name: str, offset: int) -> bool:
        """Hold a removal back; return False if it already was."""
        if name in self.held:
            return False
        self.held[name] = offset
        return True

    def record_write(self, name: str, offset: int) -> bool:
        """Record an entry and return whether its removal was held back."""
        was_held = self.held.pop(name, None) is not None
        if self.held and self.writes_needed:
            offsets = self.offsets_by_writer.setdefault(
                name, collections.deque(maxlen=self.writes_needed)
            )
            offsets.append(offset)
        return was_held

    def pop_released(self, at_ms: int) -> list[str]:
        """Return and forget the names whose removal is now to take effect."""
        confirmed_offset = self._confirmed_offset()
        is_hold_over = not self.may_have_expired(at_ms)
        over = [
            name
            for name, offset in self.held.items()
            if is_hold_over or offset < confirmed_offset
        ]
        for name in over:
            del self.held[name]
        if not self.held:
            self.offsets_by_writer.clear()
        return over

    def _confirmed_offset(self) -> int:
        """Return the offset below which every removal is confirmed."""
        return max(
            (
                offsets[0]
                for offsets in self.offsets_by_writer.values()
                if len(offsets) == self.writes_needed
            ),
            default=0,
        )
