"""What the shell asks of an endpoint beside running requests on it."""

import asyncio
import collections.abc
import logging
import typing
import urllib.parse

from berylhollow import clock
from berylhollow import effects
from berylhollow import endpoint
from berylhollow import events
from berylhollow import outgoing
from berylhollow import shell

LOG = logging.getLogger(__name__)

PLAIN_EPOCH = 'plain'
"""A plain service holds nothing that a restart would lose."""

CONNECT_TIMEOUT_S = 1.0

FAILURES = {
    'stale_fence': events.LoadFailure.STALE_FENCE,
    'wrong_epoch': events.LoadFailure.WRONG_EPOCH,
    'weights_unavailable': events.LoadFailure.WEIGHTS,
    'rate_limited': events.LoadFailure.RATE,
}


class Control(typing.Protocol):
    """How an endpoint is watched and its runs are cancelled."""

    async def status(self, at_ms: int) -> events.EngineStatus:
        """Return the status; raises ``outgoing.CallError``."""

    async def cancel(self, attempt_id: str) -> bool:
        """Return whether the endpoint still had the run.

        Raises ``outgoing.CallError``.
        """

    async def load(self, order: effects.LoadAdapter) -> None:
        """Load an adapter; raises ``outgoing.CallError``."""

    async def close(self) -> None:
        """Close the connections."""


class EngineControl:
    """Control of a model engine, by its own interface."""

    def __init__(self, url: str):
        self.client = endpoint.EngineClient(url)

    async def status(self, at_ms: int) -> events.EngineStatus:
        status = await self.client.status()
        return events.EngineStatus(
            at_ms,
            status.epoch,
            status.base_model,
            tuple(_slot(slot) for slot in status.slots),
            status.batch_limit,
            status.running,
            status.waiting,
            status.highest_fence,
        )

    async def cancel(self, attempt_id: str) -> bool:
        return await self.client.cancel(attempt_id)

    async def load(self, order: effects.LoadAdapter) -> None:
        await self.client.load(
            endpoint.SlotOrder(
                order.order_id,
                order.slot,
                order.fence,
                order.epoch,
                order.adapter,
            ),
            order.timeout_ms,
        )

    async def close(self) -> None:
        await self.client.close()


class PlainControl:
    """Control of a plain service: it is up if it takes a connection."""

    def __init__(self, url: str):
        parts = urllib.parse.urlsplit(url)
        self.address = (parts.hostname, parts.port)

    async def status(self, at_ms: int) -> events.EngineStatus:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*self.address)
        except OSError as error:
            raise outgoing.NotDone(str(error)) from error
        writer.close()
        return events.EngineStatus(at_ms, PLAIN_EPOCH, '', (), 0, 0, 0, 0)

    async def cancel(self, attempt_id: str) -> bool:
        """Return True: a closed connection is all that a service knows."""
        return True

    async def load(self, order: effects.LoadAdapter) -> None:
        raise outgoing.NotDone('a plain service has no adapters')

    async def close(self) -> None:
        """Nothing is kept open."""


class EndpointCalls:
    """Carry out status questions and load orders; feed what came of them."""

    def __init__(
        self,
        control: Control,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        tasks: shell.Tasks,
    ):
        self.control = control
        self.feed = feed
        self.time = time
        self.tasks = tasks
        self.asking = False

    def handlers(self) -> dict:
        """Return what carries each class of effect out."""
        return {
            effects.ReadStatus: self.read_status,
            effects.LoadAdapter: self.load,
        }

    def read_status(self, _effect: effects.ReadStatus) -> None:
        """Feed EngineStatus or EndpointUnreachable.

        While a question is open it stands for the later ones: two answers
        could overtake each other and show an older status last.
        """
        if not self.asking:
            self.asking = True
            self.tasks.start(self._read_status())

    def load(self, effect: effects.LoadAdapter) -> None:
        """Order a load; feeds LoadSucceeded or LoadFailed."""
        self.tasks.start(self._load(effect))

    async def close(self) -> None:
        """Close the connections to the endpoint."""
        await self.control.close()

    async def _read_status(self) -> None:
        try:
            event = await self.control.status(self.time.now_ms())
        except outgoing.CallError as error:
            LOG.debug('status: %s', error)
            event = events.EndpointUnreachable(self.time.now_ms())
        finally:
            self.asking = False
        self.feed(event)

    async def _load(self, order: effects.LoadAdapter) -> None:
        try:
            await self.control.load(order)
        except outgoing.CallError as error:
            LOG.warning('load of %s: %s', order.adapter, error)
            self.feed(_load_failed(order, error, self.time.now_ms()))
        except Exception as error:
            # A slot whose order is never answered would load for ever.
            LOG.exception('load of %s', order.adapter)
            self.feed(_load_failed(order, error, self.time.now_ms()))
        else:
            now_ms = self.time.now_ms()
            self.feed(
                events.LoadSucceeded(now_ms, order.order_id, order.epoch)
            )


def _load_failed(
    order: effects.LoadAdapter, error: Exception, at_ms: int
) -> events.LoadFailed:
    certainty = events.Certainty.UNKNOWN
    reason = events.LoadFailure.NO_ANSWER
    if isinstance(error, outgoing.Refused):
        certainty = events.Certainty.NOT_DONE
        reason = FAILURES.get(error.kind, events.LoadFailure.REFUSED)
    elif isinstance(error, outgoing.NotDone):
        certainty = events.Certainty.NOT_DONE
    return events.LoadFailed(at_ms, order.order_id, certainty, reason)


def _slot(slot: endpoint.Slot) -> events.SlotState:
    ready = slot.state is endpoint.SlotState.READY
    return events.SlotState(slot.slot, slot.adapter, ready)
