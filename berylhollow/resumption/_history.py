"""Which software versions of a service were listed, and since when.

If only one version has been listed since before a stream can have begun, it
began the stream. The history of one process covers the time since its start;
it is told to others, so that one that starts knows what was listed before.
"""

from berylhollow import messages

MAX_VERSIONS = 16
"""Versions of a service that are kept apart."""

MAX_GAP_MS = 5000
"""Longest gap between two observations over which a history goes on."""

SERVES_AFTER_MS = 10_000
"""How long an endpoint may begin streams after it was last listed. Gateways
read the list with a lag, and an endpoint serves on after its removal."""

FIRST_START_MS = -(2**60)
"""Beginning of a history that goes back to the first start of the system."""

MAX_AGE_MS = 600_000
"""How long a version that is no longer listed is kept."""


class VersionHistory:
    """The versions that were listed from ``since_ms`` to ``until_ms``.

    ``listed_ms`` maps each version to when it was listed last.
    """

    def __init__(self, since_ms: int, until_ms: int):
        self.since_ms = since_ms
        self.until_ms = until_ms
        self.listed_ms: dict[str, int] = {}

    def observe(self, versions: set[str], at_ms: int) -> bool:
        """Note the versions in the list; return whether one is new."""
        if at_ms - self.until_ms > MAX_GAP_MS:
            self.since_ms = at_ms
        self.until_ms = max(self.until_ms, at_ms)
        is_new = not versions <= self.listed_ms.keys()
        for version in versions:
            self.listed_ms[version] = at_ms
        self._drop_old(at_ms)
        return is_new

    def merge(self, told: messages.SoftwareHistory, at_ms: int) -> None:
        """Add what another process has observed."""
        until_ms = at_ms - max(0, told.observed_ms_ago)
        since_ms = until_ms - max(0, told.watched_ms)
        if told.is_complete:
            since_ms = FIRST_START_MS
        has_overlap = (
            since_ms <= self.until_ms + MAX_GAP_MS
            and self.since_ms <= until_ms + MAX_GAP_MS
        )
        if has_overlap:
            self.since_ms = min(self.since_ms, since_ms)
        elif until_ms > self.until_ms:
            self.since_ms = since_ms
        self.until_ms = max(self.until_ms, until_ms)
        for listed in told.versions:
            listed_ms = at_ms - max(0, listed.listed_ms_ago)
            self.listed_ms[listed.version] = max(
                listed_ms, self.listed_ms.get(listed.version, listed_ms)
            )
        self._drop_old(at_ms)

    def describe(self, service: str, at_ms: int) -> messages.SoftwareHistory:
        """Return the history as it is told to another process."""
        is_complete = self.since_ms == FIRST_START_MS
        return messages.SoftwareHistory(
            service,
            -1 if is_complete else self.until_ms - self.since_ms,
            at_ms - self.until_ms,
            tuple(
                messages.ListedVersion(version, at_ms - listed_ms)
                for version, listed_ms in self.listed_ms.items()
            ),
        )

    def only_version(self, at_ms: int, horizon_ms: int) -> str:
        """Return the only version that can have begun a recent stream.

        A recent stream began within ``horizon_ms``. Returns '' if several
        versions can have begun one, or if the history doesn't tell.
        """
        from_ms = at_ms - horizon_ms
        if at_ms - self.until_ms > MAX_GAP_MS or self.since_ms > from_ms:
            return ''
        served = [
            version
            for version, listed_ms in self.listed_ms.items()
            if listed_ms + SERVES_AFTER_MS >= from_ms
        ]
        return served[0] if len(served) == 1 else ''

    def _drop_old(self, at_ms: int) -> None:
        for version, listed_ms in list(self.listed_ms.items()):
            if listed_ms < at_ms - MAX_AGE_MS:
                del self.listed_ms[version]
        if len(self.listed_ms) <= MAX_VERSIONS:
            return
        newest = sorted(self.listed_ms, key=self.listed_ms.get)[-MAX_VERSIONS:]
        self.listed_ms = {name: self.listed_ms[name] for name in newest}
        self.since_ms = at_ms
