"""A loader's calls to its endpoint, fed back as events."""

import collections.abc

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import outgoing
from berylhollow import platform
from berylhollow import shell


class EndpointCalls:
    """Carry orders and reads out and feed back what came of them."""

    def __init__(
        self,
        control: platform.EndpointControl,
        holder: str,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        tasks: shell.Tasks,
    ):
        self.control = control
        self.holder = holder
        self.feed = feed
        self.time = time
        self.tasks = tasks

    def handlers(self) -> dict:
        """Return what carries each class of effect out."""
        return {
            effects.ReadAdapters: self._read,
            effects.OrderAdapter: self._order,
        }

    async def close(self) -> None:
        """Close the connections."""
        await self.control.close()

    def _read(self, effect: effects.ReadAdapters) -> None:
        self.tasks.start(self._reading(effect.read))

    def _order(self, effect: effects.OrderAdapter) -> None:
        self.tasks.start(self._ordering(effect))

    async def _reading(self, read: int) -> None:
        try:
            state = await self.control.state()
        except outgoing.CallError as error:
            now_ms = self.time.now_ms()
            self.feed(events.EndpointUnreachable(now_ms, str(error)))
            return
        self.feed(
            events.AdaptersReported(
                self.time.now_ms(),
                read,
                state.orders,
                state.models,
                state.busy,
                state.held,
                state.loading,
                state.waiting,
                state.running,
                state.started_ms,
                state.at_hand,
            )
        )

    async def _ordering(self, effect: effects.OrderAdapter) -> None:
        order = platform.Order(
            effect.load,
            effect.name,
            effect.orders,
            effect.endpoint,
            self.holder,
        )
        try:
            verdict = await self.control.order(order)
        except outgoing.NotDone:
            verdict = events.OrderVerdict.NOT_SENT
        except outgoing.CallError:
            verdict = events.OrderVerdict.LOST
        self.feed(
            events.OrderEnded(self.time.now_ms(), effect.order_id, verdict)
        )
