"""Which removals from the list may be lapses of an outage of the store."""

import collections

RETURN_MS = 2300
"""How long after an outage entries that lapsed in it stay in use.

The platform lists whoever lives again within two seconds. Guards against a
service that loses all its endpoints at the moment at which the store comes
back; it shows as a burst of refusals after every outage.
"""

IRREGULAR = 1
"""Entries of one endpoint that may come between two heartbeats: it writes at
once that it leaves, or that it has started."""


class Lapses:
    """Removals that are held back, by name; a pure machine.

    An endpoint that lives writes its entry again within ``return_ms`` of the
    return of the store. When that was is not known here: we know when we
    could read again, and may have been cut off alone while the store served
    all others. A removal is held back until one of two has passed:
    ``return_ms`` since we read again, or as much of the store's own time.
    That is told by the heartbeats that any one endpoint has written behind
    the removal, ``heartbeat_ms`` apart. Without a ``heartbeat_ms`` the first
    alone decides.

    ``until_ms`` is when the holds end that the clock ends, ``held`` has the
    offset of each removal that is held back, and ``written`` the offsets of
    what others wrote behind the first of them.
    """

    def __init__(self, return_ms: int = RETURN_MS, heartbeat_ms: int = 0):
        self.return_ms = return_ms
        self.needed = 0
        if heartbeat_ms:
            heartbeats = -(-return_ms // heartbeat_ms)
            self.needed = heartbeats + 1 + IRREGULAR
        self.until_ms = 0
        self.held: dict[str, int] = {}
        self.written: dict[str, collections.deque[int]] = {}

    def returned(self, at_ms: int) -> None:
        """We can read again after an outage; holds begin anew."""
        self.until_ms = at_ms + self.return_ms

    def log_came_back(self, at_ms: int, next_offset: int) -> None:
        """Offsets were given out again, as an outage ended.

        What was held back before is judged by what is written from now on.
        """
        self.returned(at_ms)
        self.written.clear()
        self.held = dict.fromkeys(self.held, next_offset)

    def may_be_lapse(self, at_ms: int) -> bool:
        """Tell whether a removal that is read now may be a lapse."""
        return at_ms < self.until_ms

    def hold_back(self, name: str, offset: int) -> bool:
        """Hold a removal back; return whether it was not held yet."""
        if name in self.held:
            return False
        self.held[name] = offset
        return True

    def wrote(self, name: str, offset: int) -> bool:
        """Note an entry; return whether a removal of its name was held."""
        was_held = self.held.pop(name, None) is not None
        if self.held and self.needed:
            offsets = self.written.setdefault(
                name, collections.deque(maxlen=self.needed)
            )
            offsets.append(offset)
        return was_held

    def end_holds(self, at_ms: int) -> list[str]:
        """Return the names whose removal is no lapse, and forget them."""
        proven = self._proven()
        all_over = not self.may_be_lapse(at_ms)
        over = [
            name
            for name, offset in self.held.items()
            if all_over or offset < proven
        ]
        for name in over:
            del self.held[name]
        if not self.held:
            self.written.clear()
        return over

    def _proven(self) -> int:
        """Return the offset before which every removal is proven."""
        return max(
            (
                offsets[0]
                for offsets in self.written.values()
                if len(offsets) == self.needed
            ),
            default=0,
        )
