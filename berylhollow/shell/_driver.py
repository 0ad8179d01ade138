"""Feed events to a reducer, one at a time, and hand its effects out."""

import asyncio
import collections
import collections.abc
import logging
import random
import typing

from berylhollow import clock
from berylhollow import effects
from berylhollow import events

LOG = logging.getLogger(__name__)

Reduce = collections.abc.Callable[
    [typing.Any, events.Event],
    tuple[typing.Any, collections.abc.Iterable[effects.Effect]],
]
CarryOut = collections.abc.Callable[[typing.Any], None]


class Driver:
    """Keeps the state of a role's reducer and the queue of its events.

    ``handlers`` carries each class of effect out; a handler may feed further
    events, but never waits. ``failed`` is set to the first exception of the
    reducer or of a handler: the state may then be half changed, so no event
    is taken after it and the process has to end.
    """

    def __init__(
        self,
        reduce: Reduce,
        state: typing.Any,
        time: clock.Clock,
        handlers: collections.abc.Mapping[type, CarryOut],
    ):
        self.reduce = reduce
        self.state = state
        self.time = time
        self.handlers = handlers
        self.pending: collections.deque[events.Event] = collections.deque()
        self.busy = False
        self.failed: asyncio.Future[Exception] = asyncio.Future()

    def feed(self, event: events.Event) -> None:
        """Reduce an event now, or after the one under way."""
        if self.failed.done():
            return
        self.pending.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.pending:
                self._take(self.pending.popleft())
        except Exception as error:
            # Going on could break a promise (a pin counted wrongly evicts an
            # adapter in use); ending is what the peers are made for.
            LOG.exception('a defect in the reducer or its shell')
            self.pending.clear()
            self.failed.set_result(error)
        finally:
            self.busy = False

    async def tick(self, every_ms: int) -> None:
        """Feed a tick every ``every_ms``, for ever."""
        while True:
            await asyncio.sleep(every_ms / clock.MS_PER_SECOND)
            self.feed(events.Ticked(self.time.now_ms(), random.random()))

    def _take(self, event: events.Event) -> None:
        self.state, todo = self.reduce(self.state, event)
        for effect in todo:
            self.handlers[type(effect)](effect)
