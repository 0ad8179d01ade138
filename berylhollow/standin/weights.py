"""Model of the platform's rate-limited weight store.

A load takes ``full_speed_ms`` of work. A load alone does one millisecond of
work per millisecond; with n loads at once, each progresses at

    1 / (n * (1 + contention * (n - 1)))

so that together they progress less than one alone: with the default contention
of 0.1, two loads of 400 ms begun together both end after 880 ms, where one
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
# A load with less work left has ended. Without the margin, a remainder left
# by floating-point rounding keeps ``run_until`` from reaching its end.
MIN_WORK_MS = 0.001


@dataclasses.dataclass(frozen=True)
class WeightLimits:
    """Rate and duration of loads, and their slowdown under a fault."""

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
    """A load in progress and its remaining work."""

    load: str
    adapter: messages.AdapterVersion
    work_ms: float
    hung: bool


class WeightStoreModel:
    """A weight store whose loads share its bandwidth."""

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
        self.simulated_until_ms: float = 0
        self.done: list[LoadDone] = []

    def start(
        self, load: str, adapter: messages.AdapterVersion, now_ms: float
    ) -> None:
        """Begin a load; ``advance`` returns it when it has ended.

        Raises ``Unavailable``, ``RateLimited`` or ``UnknownAdapter``, without
        starting a load.
        """
        self.run_until(now_ms)
        if self.faults.active(faults.PlatformFault.WEIGHTS_DOWN, now_ms):
            raise failures.Unavailable('the weight store is down')
        if not self.bucket.try_take(now_ms):
            raise failures.RateLimited('too many loads')
        if adapter.adapter.startswith(MISSING_PREFIX):
            raise failures.UnknownAdapter(str(adapter))
        hung = self.faults.active(faults.PlatformFault.LOAD_HANGS, now_ms)
        self.loads[load] = Load(load, adapter, self.limits.full_speed_ms, hung)

    def cancel(self, load: str, now_ms: float) -> bool:
        """Cancel a load; return whether it was in progress."""
        self.run_until(now_ms)
        return self.loads.pop(load, None) is not None

    def advance(self, now_ms: float) -> list[LoadDone]:
        """Return the loads that have ended since the last call, in order."""
        self.run_until(now_ms)
        ended = self.done
        self.done = []
        return ended

    def next_event_ms(self) -> float:
        """Return when the next load ends, or a fault that may change that.

        Infinity without loads, or if all loads hang forever.
        """
        if not self.loads:
            return math.inf
        return min(
            self.next_end_ms(),
            self.faults.next_end_ms(self.simulated_until_ms),
        )

    def run_until(self, now_ms: float) -> None:
        """Advance the work of all loads to ``now_ms``."""
        while self.simulated_until_ms < now_ms:
            step_ms = min(now_ms, self.next_event_ms())
            self.apply_work(step_ms)
            self.simulated_until_ms = step_ms
            self.collect_ended()

    def apply_work(self, until_ms: float) -> None:
        worked_ms = (until_ms - self.simulated_until_ms) * self.speed()
        for load in self.loads.values():
            if not self.is_hung(load):
                load.work_ms -= worked_ms

    def collect_ended(self) -> None:
        for load in list(self.loads.values()):
            if load.work_ms < MIN_WORK_MS:
                del self.loads[load.load]
                self.done.append(self.outcome(load))

    def outcome(self, load: Load) -> LoadDone:
        failed = self.faults.active(
            faults.PlatformFault.LOAD_FAILS, self.simulated_until_ms
        )
        return LoadDone(
            load.load, load.adapter, self.simulated_until_ms, not failed
        )

    def is_hung(self, load: Load) -> bool:
        return load.hung and self.faults.active(
            faults.PlatformFault.LOAD_HANGS, self.simulated_until_ms
        )

    def speed(self) -> float:
        """Return the work that each load does per millisecond."""
        if self.faults.active(
            faults.PlatformFault.WEIGHTS_DOWN, self.simulated_until_ms
        ):
            return 0
        count = max(1, len(self.loads))
        speed = 1 / (count * (1 + self.limits.contention * (count - 1)))
        if self.faults.active(
            faults.PlatformFault.WEIGHTS_SLOW, self.simulated_until_ms
        ):
            speed /= self.limits.slow_factor
        return speed

    def next_end_ms(self) -> float:
        speed = self.speed()
        left = [x.work_ms for x in self.loads.values() if not self.is_hung(x)]
        if not left or not speed:
            return math.inf
        return self.simulated_until_ms + min(left) / speed
