"""Who is suspect of crashing endpoints, and who is in quarantine."""

import dataclasses

from berylhollow.quarantine import _records

MAX_DOUBLINGS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """When a suspect is quarantined; durations in milliseconds.

    A request that ran alone at a crash is quarantined at its second crash,
    since the first may have had another cause; one that ran beside others
    after ``crashes`` of them. Suspicion is forgotten after ``suspect_ms``
    without a crash.
    """

    crashes_alone: int = 2
    crashes: int = 3
    suspect_ms: int = 600_000
    quarantine_ms: int = 600_000
    limit: int = 10_000


@dataclasses.dataclass(slots=True)
class Suspicion:
    """What is held against one fingerprint."""

    crash_ids: set[str]
    service: str
    forget_at_ms: int
    until_ms: int = 0
    quarantines: int = 0


@dataclasses.dataclass(slots=True)
class Suspects:
    """Suspicions by fingerprint, a bounded number of them."""

    rules: Rules
    suspicions: dict[str, Suspicion] = dataclasses.field(default_factory=dict)

    def crashed(self, crash: _records.Crash, at_ms: int) -> list[str]:
        """Count a crash; return the fingerprints it puts in quarantine."""
        alone = len(crash.fingerprints) == 1
        quarantined = []
        for fingerprint in crash.fingerprints:
            if self._count(fingerprint, crash, alone, at_ms):
                quarantined.append(fingerprint)
        self._shrink()
        return quarantined

    def suspect(self, fingerprint: str, at_ms: int) -> bool:
        """Tell whether the request must run with nothing beside it."""
        suspicion = self.suspicions.get(fingerprint)
        return suspicion is not None and at_ms < suspicion.forget_at_ms

    def quarantined_ms(self, fingerprint: str, at_ms: int) -> int:
        """Return how long the request is still refused; 0 if it is not."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        return max(0, suspicion.until_ms - at_ms)

    def clear(self, fingerprint: str) -> None:
        """Drop a suspicion: it ran well on its own, or was lifted."""
        self.suspicions.pop(fingerprint, None)

    def forget(self, at_ms: int) -> None:
        """Drop the suspicions that are too old to count."""
        old = [
            fingerprint
            for fingerprint, suspicion in self.suspicions.items()
            if at_ms >= suspicion.forget_at_ms
        ]
        for fingerprint in old:
            del self.suspicions[fingerprint]

    def _count(
        self,
        fingerprint: str,
        crash: _records.Crash,
        alone: bool,
        at_ms: int,
    ) -> bool:
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            suspicion = Suspicion(set(), crash.service, 0)
            self.suspicions[fingerprint] = suspicion
        if crash.crash_id in suspicion.crash_ids:
            return False
        suspicion.crash_ids.add(crash.crash_id)
        suspicion.forget_at_ms = max(
            suspicion.forget_at_ms, at_ms + self.rules.suspect_ms
        )
        needed = self.rules.crashes_alone if alone else self.rules.crashes
        if len(suspicion.crash_ids) < needed:
            return False
        doublings = min(suspicion.quarantines, MAX_DOUBLINGS)
        suspicion.quarantines += 1
        suspicion.until_ms = at_ms + self.rules.quarantine_ms * 2**doublings
        suspicion.forget_at_ms = suspicion.until_ms + self.rules.suspect_ms
        return True

    def _shrink(self) -> None:
        while len(self.suspicions) > self.rules.limit:
            del self.suspicions[next(iter(self.suspicions))]
