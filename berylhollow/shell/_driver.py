"""Feeds events to a reducer one at a time and dispatches its effects."""

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

Reducer = collections.abc.Callable[
    [typing.Any, events.Event],
    tuple[typing.Any, collections.abc.Iterable[effects.Effect]],
]
EffectHandler = collections.abc.Callable[[typing.Any], None]


class Driver:
    """Holds the state of a role's reducer and its queue of events.

    ``handlers`` has a function for each class of effect, which carries it
    out. A handler may feed further events but must not block. ``failed`` is
    set to the first exception of the reducer or a handler. The state may then
    be partly updated, so that no further event is processed and the process
    has to exit.
    """

    def __init__(
        self,
        reduce: Reducer,
        state: typing.Any,
        time: clock.Clock,
        handlers: collections.abc.Mapping[type, EffectHandler],
    ):
        self.reduce = reduce
        self.state = state
        self.time = time
        self.handlers = handlers
        self.pending: collections.deque[events.Event] = collections.deque()
        self.processing = False
        self.failed: asyncio.Future[Exception] = asyncio.Future()

    def feed(self, event: events.Event) -> None:
        """Process an event now, or after the one that is being processed."""
        if self.failed.done():
            return
        self.pending.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.pending:
                self._process(self.pending.popleft())
        except Exception as error:
            # With an inconsistent state, guarantees could be broken: a wrong
            # pin count evicts an adapter in use. Peers handle a process exit.
            LOG.exception('unhandled exception in the reducer or its shell')
            self.pending.clear()
            self.failed.set_result(error)
        finally:
            self.processing = False

    async def tick(self, every_ms: int) -> None:
        """Feed a ``Ticked`` event every ``every_ms``, without end."""
        while True:
            await asyncio.sleep(every_ms / clock.MS_PER_SECOND)
            self.feed(events.Ticked(self.time.now_ms(), random.random()))

    def _process(self, event: events.Event) -> None:
        self.state, requested = self.reduce(self.state, event)
        for effect in requested:
            self.handlers[type(effect)](effect)
