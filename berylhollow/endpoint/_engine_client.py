"""Client of a model engine's control interface."""

import aiohttp

from berylhollow.endpoint import _types
from berylhollow import messages
from berylhollow import outgoing

LOAD_TIMEOUT_MS = 60_000


class EngineClient:
    """Reads the status of the engine at ``url`` and sends it orders.

    All methods raise the subclasses of ``outgoing.CallError``. An order that
    raised ``CallOutcomeUnknown`` must be assumed to have taken effect until
    the status or the answer to a later order shows whether it has.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession | None = None):
        self.url = url.rstrip('/')
        self.session = session or outgoing.open_session()

    async def status(self) -> _types.EngineStatus:
        """Return the engine's status, which may lag behind."""
        reply = await outgoing.call(
            self.session, 'GET', f'{self.url}/engine/status'
        )
        try:
            return _parse_status(reply.value())
        except outgoing.SHAPE_ERRORS as error:
            raise outgoing.CallOutcomeUnknown(
                'the answer is not an engine status'
            ) from error

    async def load(
        self, order: _types.SlotOrder, timeout_ms: int = LOAD_TIMEOUT_MS
    ) -> None:
        """Load an adapter into a slot; return when it is ready.

        Refused as ``stale_fence``, ``wrong_epoch``, ``unknown_slot``,
        ``superseded``, ``weights_unavailable`` or ``rate_limited``.
        """
        if order.adapter is None:
            raise ValueError('a load order needs an adapter')
        body = _order_body(order)
        body['adapter'] = order.adapter.adapter
        body['version'] = order.adapter.version
        await outgoing.call(
            self.session,
            'POST',
            f'{self.url}/engine/load',
            timeout_ms,
            json=body,
        )

    async def unload(self, order: _types.SlotOrder) -> None:
        """Empty a slot; refused for the same reasons as a load."""
        await outgoing.call(
            self.session,
            'POST',
            f'{self.url}/engine/unload',
            json=_order_body(order),
        )

    async def cancel(self, request: str) -> bool:
        """Cancel a request; return whether the engine still had it."""
        reply = await outgoing.call(
            self.session,
            'POST',
            f'{self.url}/engine/cancel',
            json={'request': request},
        )
        return reply.value().get('cancelled') is True

    async def events(self, after: int) -> tuple[_types.CacheEvent, ...]:
        """Return the cache events after a sequence number.

        Events may arrive late, and some may be missing.
        """
        reply = await outgoing.call(
            self.session,
            'GET',
            f'{self.url}/engine/events',
            params={'after': str(after)},
        )
        try:
            return tuple(
                _parse_event(item) for item in reply.value()['events']
            )
        except outgoing.SHAPE_ERRORS as error:
            raise outgoing.CallOutcomeUnknown(
                'the answer is not a list of events'
            ) from error

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()


def _order_body(order: _types.SlotOrder) -> dict:
    return {
        'order': order.order,
        'slot': order.slot,
        'fence': order.fence,
        'epoch': order.epoch,
    }


def _parse_status(value: dict) -> _types.EngineStatus:
    return _types.EngineStatus(
        epoch=str(value['epoch']),
        base_model=str(value['base_model']),
        slots=tuple(_parse_slot(item) for item in value['slots']),
        batch_limit=int(value['batch_limit']),
        running=int(value['running']),
        waiting=int(value['waiting']),
        highest_fence=int(value['highest_fence']),
    )


def _parse_slot(value: dict) -> _types.Slot:
    state = _types.SlotState(value['state'])
    if state == _types.SlotState.EMPTY:
        return _types.Slot(int(value['slot']))
    return _types.Slot(int(value['slot']), _parse_adapter(value), state)


def _parse_event(value: dict) -> _types.CacheEvent:
    return _types.CacheEvent(
        sequence=int(value['sequence']),
        at_ms=int(value['at_ms']),
        change=_types.CacheChange(value['change']),
        adapter=_parse_adapter(value),
        prefix=str(value['prefix']),
        tokens=int(value['tokens']),
    )


def _parse_adapter(value: dict) -> messages.AdapterVersion:
    return messages.AdapterVersion(
        str(value['adapter']), str(value['version'])
    )
