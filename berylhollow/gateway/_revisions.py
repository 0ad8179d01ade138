"""Revisions of the configuration that other gateways are known to have."""

import dataclasses

MAX_NEWER_REVISIONS = 16
"""Newer revisions that are remembered; the earliest of them matters."""


@dataclasses.dataclass(slots=True)
class KnownRevisions:
    """The newest known revision, and since when newer ones are known.

    ``newest`` is None until another gateway's revision is known.
    ``heard_ms`` maps revisions that are newer than the one in force here to
    when they were first heard of. ``was_reached`` says that the revision in
    force here has been the newest known one at some time, ``is_logged`` that
    the log says it is outdated. A revision of 0 says that none is known.
    ``unfounded`` are revisions that neither the log nor a process has.
    """

    newest: int | None = None
    heard_ms: dict[int, int] = dataclasses.field(default_factory=dict)
    was_reached: bool = False
    is_logged: bool = False
    unfounded: set[int] = dataclasses.field(default_factory=set)

    def record(self, revision: int, own: int, at_ms: int) -> None:
        """Record that another gateway has a revision."""
        if revision in self.unfounded and revision > own:
            return
        self.newest = max(self.newest or 0, revision)
        self._record_if_reached(own)
        if revision > own and len(self.heard_ms) < MAX_NEWER_REVISIONS:
            self.heard_ms.setdefault(revision, at_ms)

    def reach(self, own: int, at_ms: int) -> None:
        """Record that a revision has come into force here."""
        self.heard_ms = {
            revision: heard_ms
            for revision, heard_ms in self.heard_ms.items()
            if revision > own
        }
        self._record_if_reached(own)
        self.unfounded = {each for each in self.unfounded if each > own}
        if self.newest is not None and self.newest > own:
            self.heard_ms.setdefault(self.newest, at_ms)

    def _record_if_reached(self, own: int) -> None:
        if self.newest and self.newest <= own:
            self.was_reached = True

    def behind_ms(self, own: int, at_ms: int) -> int | None:
        """Return how long a newer revision has been known; None if none is."""
        earliest_ms = self.earliest_ms(own)
        return None if earliest_ms is None else at_ms - earliest_ms

    def earliest_ms(self, own: int) -> int | None:
        """Return when a newer revision was first heard of, None if none is."""
        newer = [ms for known, ms in self.heard_ms.items() if known > own]
        return min(newer, default=None)

    def drop_unfounded(self, own: int, until_ms: int) -> None:
        """Drop the newer revisions that were heard of until a time.

        They are ignored when a sidecar reports them again.
        """
        dropped = {
            revision
            for revision, heard_ms in self.heard_ms.items()
            if revision > own and heard_ms <= until_ms
        }
        for revision in dropped:
            del self.heard_ms[revision]
        self.unfounded = {
            *sorted(self.unfounded | dropped)[-MAX_NEWER_REVISIONS:]
        }
        self.newest = max(self.heard_ms, default=own)
        self._record_if_reached(own)
