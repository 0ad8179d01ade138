"""Calls of the shell to its endpoint, except those that run requests."""

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
"""Epoch of every plain service, which loses no state in a restart."""

CONNECT_TIMEOUT_S = 1.0

LOAD_FAILURES = {
    'stale_fence': events.LoadFailure.STALE_FENCE,
    'wrong_epoch': events.LoadFailure.WRONG_EPOCH,
    'weights_unavailable': events.LoadFailure.WEIGHTS,
    'rate_limited': events.LoadFailure.RATE,
}


class Control(typing.Protocol):
    """Reads an endpoint's status, cancels its runs and loads adapters."""

    async def status(self, at_ms: int) -> events.EngineStatus:
        """Return the status; raises ``outgoing.CallError``."""

    async def cancel(self, attempt_id: str) -> bool:
        """Cancel a run; return whether the endpoint still had it.

        Raises ``outgoing.CallError``.
        """

    async def load(self, order: effects.LoadAdapter) -> None:
        """Load an adapter; raises ``outgoing.CallError``."""

    async def close(self) -> None:
        """Close the connections."""


class EngineControl:
    """Controls a model engine through its control interface."""

    def __init__(self, url: str):
        self.client = endpoint.EngineClient(url)

    async def status(self, at_ms: int) -> events.EngineStatus:
        status = await self.client.status()
        return events.EngineStatus(
            at_ms,
            status.epoch,
            status.base_model,
            tuple(_slot_state(slot) for slot in status.slots),
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
    """Controls a plain service, which is up if it accepts a connection."""

    def __init__(self, url: str):
        parts = urllib.parse.urlsplit(url)
        self.address = (parts.hostname, parts.port)

    async def status(self, at_ms: int) -> events.EngineStatus:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*self.address)
        except OSError as error:
            raise outgoing.CallNotSent(str(error)) from error
        writer.close()
        return events.EngineStatus(at_ms, PLAIN_EPOCH, '', (), 0, 0, 0, 0)

    async def cancel(self, attempt_id: str) -> bool:
        """Return True: closing the connection is the only way to cancel."""
        return True

    async def load(self, order: effects.LoadAdapter) -> None:
        raise outgoing.CallNotSent('a plain service has no adapters')

    async def close(self) -> None:
        """Do nothing: no connection is kept open."""


class EndpointCalls:
    """Carries out status reads and loads, and feeds their results."""

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
        self.is_reading_status = False

    def handlers(self) -> dict:
        """Return the handler of each class of effect."""
        return {
            effects.ReadStatus: self.read_status,
            effects.LoadAdapter: self.load,
        }

    def read_status(self, _effect: effects.ReadStatus) -> None:
        """Read the status; feeds EngineStatus or EndpointUnreachable.

        Does nothing while an earlier read is in flight: two answers could
        overtake each other, and an older status would be fed last.
        """
        if not self.is_reading_status:
            self.is_reading_status = True
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
            LOG.debug('status read failed: %s', error)
            event = events.EndpointUnreachable(self.time.now_ms())
        finally:
            self.is_reading_status = False
        self.feed(event)

    async def _load(self, order: effects.LoadAdapter) -> None:
        try:
            await self.control.load(order)
        except outgoing.CallError as error:
            LOG.warning('load of %s failed: %s', order.adapter, error)
            self.feed(_load_failed_event(order, error, self.time.now_ms()))
        except Exception as error:
            # Without a result the slot would stay in loading for ever.
            LOG.exception('load of %s failed', order.adapter)
            self.feed(_load_failed_event(order, error, self.time.now_ms()))
        else:
            now_ms = self.time.now_ms()
            self.feed(
                events.LoadSucceeded(now_ms, order.order_id, order.epoch)
            )


def _load_failed_event(
    order: effects.LoadAdapter, error: Exception, at_ms: int
) -> events.LoadFailed:
    certainty = events.Certainty.UNKNOWN
    reason = events.LoadFailure.NO_ANSWER
    if isinstance(error, outgoing.CallRefused):
        certainty = events.Certainty.NOT_DONE
        reason = LOAD_FAILURES.get(error.kind, events.LoadFailure.REFUSED)
    elif isinstance(error, outgoing.CallNotSent):
        certainty = events.Certainty.NOT_DONE
    return events.LoadFailed(at_ms, order.order_id, certainty, reason)


def _slot_state(slot: endpoint.Slot) -> events.SlotState:
    ready = slot.state is endpoint.SlotState.READY
    return events.SlotState(slot.slot, slot.adapter, ready)
