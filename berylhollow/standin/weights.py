"""Model of the platform's rate-limited weight store.

A load is ``full_speed_ms`` of work. Alone it does one millisecond of work a
millisecond. With n loads at once each progresses at

    1 / (n * (1 + contention * (n - 1)))

so that together they do less than one alone: with the default contention of
0.1, two loads of 400 ms begun together both end after 880 ms, where one
after the other they would end after 400 and 800 ms. A hung load makes no
progress but still counts in n.
"""

import dataclasses
import math

from berylhollow import messages
from berylhollow.standin import failures
from berylhollow.standin import faults
from berylhollow.util import token_bucket

MISSING_PREFIX = 'missing'
SMALLEST_WORK_MS = 0.001


@dataclasses.dataclass(frozen=True)
class WeightLimits:
    """Loads admitted a second, their length, and the slowness fault."""

    loads_per_s: float = 2
    burst: int = 2
    full_speed_ms: float = 400
    contention: float = 0.1
    slow_factor: float = 5


@dataclasses.dataclass(frozen=True)
class LoadDone:
    """A load that ended; ``loaded`` is False if it failed."""

    load: str
    adapter: messages.AdapterVersion
    at_ms: float
    loaded: bool


@dataclasses.dataclass
class Load:
    """A load under way and the work that it still has to do."""

    load: str
    adapter: messages.AdapterVersion
    work_ms: float
    hung: bool


class WeightStoreModel:
    """Loads that share one full-speed channel."""

    def __init__(
        self,
        weight_limits: WeightLimits | None = None,
        switches: faults.FaultSwitches | None = None,
    ):
        self.limits = weight_limits or WeightLimits()
        self.faults = switches or faults.FaultSwitches()
        self.bucket = token_bucket.TokenBucket(
            self.limits.loads_per_s, self.limits.burst
        )
        self.loads: dict[str, Load] = {}
        self.reached_ms: float = 0
        self.done: list[LoadDone] = []

    def start(
        self, load: str, adapter: messages.AdapterVersion, now_ms: float
    ) -> None:
        """Begin a load; its end comes out of ``advance``.

        Raises ``Unavailable``, ``RateLimited`` or ``UnknownAdapter``; then
        nothing has begun.
        """
        self.run_until(now_ms)
        if self.faults.active(faults.PlatformFault.WEIGHTS_DOWN, now_ms):
            raise failures.Unavailable('the weight store is down')
        if not self.bucket.take(now_ms):
            raise failures.RateLimited('too many loads')
        if adapter.adapter.startswith(MISSING_PREFIX):
            raise failures.UnknownAdapter(str(adapter))
        hung = self.faults.active(faults.PlatformFault.LOAD_HANGS, now_ms)
        self.loads[load] = Load(load, adapter, self.limits.full_speed_ms, hung)

    def cancel(self, load: str, now_ms: float) -> bool:
        """Give a load up; return whether it was under way."""
        self.run_until(now_ms)
        return self.loads.pop(load, None) is not None

    def advance(self, now_ms: float) -> list[LoadDone]:
        """Return the loads that have ended since the last call, in order."""
        self.run_until(now_ms)
        ended = self.done
        self.done = []
        return ended

    def next_event_ms(self) -> float:
        """Return when the next load ends, or a fault that changes that.

        Infinity if nothing is under way or all that is hangs for ever.
        """
        if not self.loads:
            return math.inf
        return min(
            self.next_end_ms(), self.faults.next_end_ms(self.reached_ms)
        )

    def run_until(self, now_ms: float) -> None:
        """Carry the work of all loads forward to the moment given."""
        while self.reached_ms < now_ms:
            step_ms = min(now_ms, self.next_event_ms())
            self.work(step_ms)
            self.reached_ms = step_ms
            self.collect()

    def work(self, until_ms: float) -> None:
        worked_ms = (until_ms - self.reached_ms) * self.speed()
        for load in self.loads.values():
            if not self.hangs(load):
                load.work_ms -= worked_ms

    def collect(self) -> None:
        for load in list(self.loads.values()):
            if load.work_ms < SMALLEST_WORK_MS:
                del self.loads[load.load]
                self.done.append(self.outcome(load))

    def outcome(self, load: Load) -> LoadDone:
        failed = self.faults.active(
            faults.PlatformFault.LOAD_FAILS, self.reached_ms
        )
        return LoadDone(load.load, load.adapter, self.reached_ms, not failed)

    def hangs(self, load: Load) -> bool:
        return load.hung and self.faults.active(
            faults.PlatformFault.LOAD_HANGS, self.reached_ms
        )

    def speed(self) -> float:
        """Return the work that each load does in a millisecond."""
        if self.faults.active(
            faults.PlatformFault.WEIGHTS_DOWN, self.reached_ms
        ):
            return 0
        count = max(1, len(self.loads))
        speed = 1 / (count * (1 + self.limits.contention * (count - 1)))
        if self.faults.active(
            faults.PlatformFault.WEIGHTS_SLOW, self.reached_ms
        ):
            speed /= self.limits.slow_factor
        return speed

    def next_end_ms(self) -> float:
        speed = self.speed()
        left = [x.work_ms for x in self.loads.values() if not self.hangs(x)]
        if not left or not speed:
            return math.inf
        return self.reached_ms + min(left) / speed
