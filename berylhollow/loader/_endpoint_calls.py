"""A loader's calls to its endpoint, with results returned as events."""

import collections.abc

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import outgoing
from berylhollow import platform
from berylhollow import shell


class EndpointCalls:
    """Sends orders and reads to the endpoint and feeds back the results."""

    def __init__(
        self,
        control: platform.EndpointControlClient,
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
        """Return the handler of each effect class."""
        return {
            effects.ReadAdapters: self._read,
            effects.OrderAdapter: self._order,
        }

    async def close(self) -> None:
        """Close the connections."""
        await self.control.close()

    def _read(self, effect: effects.ReadAdapters) -> None:
        self.tasks.start(self._read_state(effect.read))

    def _order(self, effect: effects.OrderAdapter) -> None:
        self.tasks.start(self._send_order(effect))

    async def _read_state(self, read: int) -> None:
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
                state.has_order_in_progress,
                state.held,
                state.loading,
                state.waiting,
                state.running,
                state.started_ms,
                state.local_models,
            )
        )

    async def _send_order(self, effect: effects.OrderAdapter) -> None:
        order = platform.Order(
            effect.load,
            effect.name,
            effect.orders,
            effect.endpoint,
            self.holder,
        )
        try:
            verdict = await self.control.order(order)
        except outgoing.CallNotSent:
            verdict = events.OrderVerdict.NOT_SENT
        except outgoing.CallError:
            verdict = events.OrderVerdict.LOST
        self.feed(
            events.OrderEnded(self.time.now_ms(), effect.order_id, verdict)
        )
