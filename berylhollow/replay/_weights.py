"""The weight store that all engines of the world load from."""

import collections.abc
import math
import typing

from berylhollow import messages
from berylhollow.replay import _actions
from berylhollow.standin import faults
from berylhollow.standin import weights

if typing.TYPE_CHECKING:
    from berylhollow.replay import _world

Point = _actions.Point


class WeightsDriver:
    """The weight store that all engines load from."""

    def __init__(self, world: '_world.World', model: weights.WeightStoreModel):
        self.world = world
        self.model = model
        self.callbacks: dict[str, collections.abc.Callable] = {}
        self.wake_ms = math.inf

    @property
    def faults(self) -> faults.FaultSwitches:
        return self.model.faults

    def start(
        self,
        load: str,
        adapter: messages.AdapterVersion,
        done: collections.abc.Callable[[str, bool], None],
    ) -> None:
        """Begin a load; raises as the model does."""
        self.model.start(load, adapter, self.world.now_ms)
        self.callbacks[load] = done
        self.after()

    def wake(self) -> None:
        if self.world.now_ms >= self.wake_ms:
            self.wake_ms = math.inf
            self.after()

    def after(self) -> None:
        """Report the loads that ended and wake when the next one does."""
        for done in self.model.advance(self.world.now_ms):
            self.callbacks.pop(done.load)(done.load, done.loaded)
        next_ms = self.model.next_event_ms()
        if next_ms < self.wake_ms:
            self.wake_ms = next_ms
            self.world.push(
                next_ms,
                _actions.Action(Point.WEIGHTS, '', 'weights', self.wake),
            )
