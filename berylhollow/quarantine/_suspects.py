"""Requests suspected of crashing endpoints, and those in quarantine."""

import dataclasses

from berylhollow.quarantine import _records

MAX_DOUBLINGS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """When a suspect is quarantined; durations in milliseconds.

    A crash while the request ran alone quarantines it if it has
    ``crashes_alone`` crashes by then: a single one may have had another
    cause. A crash while it ran beside others quarantines it if it has
    ``crashes``. A suspicion is forgotten after ``suspect_ms`` without a
    crash. At most ``limit`` suspicions are kept.
    """

    crashes_alone: int = 2
    crashes: int = 3
    suspect_ms: int = 600_000
    quarantine_ms: int = 600_000
    limit: int = 10_000


@dataclasses.dataclass(slots=True)
class Suspicion:
    """The crashes and quarantines of one fingerprint.

    ``crash_ids`` has the first report of each crash.
    """

    crash_ids: set[str]
    service: str
    forget_at_ms: int
    until_ms: int = 0
    quarantines: int = 0


@dataclasses.dataclass(slots=True)
class Suspects:
    """Suspicions by fingerprint; their number is bounded."""

    rules: Rules
    suspicions: dict[str, Suspicion] = dataclasses.field(default_factory=dict)

    def count_crash(self, crash: _records.Crash, at_ms: int) -> list[str]:
        """Count a crash; return the fingerprints that it quarantines."""
        ran_alone = len(crash.fingerprints) == 1
        quarantined = []
        for fingerprint in crash.fingerprints:
            if self._count_crash(fingerprint, crash, ran_alone, at_ms):
                quarantined.append(fingerprint)
        self._enforce_limit()
        return quarantined

    def is_suspect(self, fingerprint: str, at_ms: int) -> bool:
        """Tell whether the request is suspect and must run alone."""
        suspicion = self.suspicions.get(fingerprint)
        return suspicion is not None and at_ms < suspicion.forget_at_ms

    def quarantined_ms(self, fingerprint: str, at_ms: int) -> int:
        """Return how long the request is still quarantined; 0 if it is not."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        return max(0, suspicion.until_ms - at_ms)

    def clear(self, fingerprint: str) -> None:
        """Drop a suspicion, disproved by a run alone or lifted."""
        self.suspicions.pop(fingerprint, None)

    def forget_expired(self, at_ms: int) -> None:
        """Drop the suspicions that have expired."""
        expired = [
            fingerprint
            for fingerprint, suspicion in self.suspicions.items()
            if at_ms >= suspicion.forget_at_ms
        ]
        for fingerprint in expired:
            del self.suspicions[fingerprint]

    def _count_crash(
        self,
        fingerprint: str,
        crash: _records.Crash,
        ran_alone: bool,
        at_ms: int,
    ) -> bool:
        """Count a crash of a fingerprint; tell whether it is quarantined."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            suspicion = Suspicion(set(), crash.service, 0)
            self.suspicions[fingerprint] = suspicion
        if _records.ended_epoch(crash.crash_id) in map(
            _records.ended_epoch, suspicion.crash_ids
        ):
            return False
        suspicion.crash_ids.add(crash.crash_id)
        suspicion.forget_at_ms = max(
            suspicion.forget_at_ms, at_ms + self.rules.suspect_ms
        )
        threshold = (
            self.rules.crashes_alone if ran_alone else self.rules.crashes
        )
        if len(suspicion.crash_ids) < threshold:
            return False
        doublings = min(suspicion.quarantines, MAX_DOUBLINGS)
        suspicion.quarantines += 1
        suspicion.until_ms = at_ms + self.rules.quarantine_ms * 2**doublings
        suspicion.forget_at_ms = suspicion.until_ms + self.rules.suspect_ms
        return True

    def _enforce_limit(self) -> None:
        """Drop the suspicions that were added first, down to the limit."""
        while len(self.suspicions) > self.rules.limit:
            del self.suspicions[next(iter(self.suspicions))]
