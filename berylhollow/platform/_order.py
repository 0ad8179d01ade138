"""Orders to the endpoint on the own instance, and its report."""

import dataclasses
import enum
import json

import aiohttp

from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.platform import _fields
from berylhollow.platform import _records
from berylhollow.platform import _runs
from berylhollow import routes

CALL_TIMEOUT_MS = 200
"""The endpoint is on the same instance and answers in some milliseconds.

An order without an answer holds up all that follow it. Giving it up early is
safe: should it be carried out later, it is refused if any other was."""

FENCE = 1
"""The fencing number of every order.

Only the process beside an endpoint orders it, and a restart of the endpoint
clears what it has seen, so the number never needs to rise; orders that come
late are told apart by the expected sequence number.
"""


class Action(enum.Enum):
    """What an order asks for."""

    LOAD = 'load'
    UNLOAD = 'unload'


VERDICTS = {
    200: events.OrderVerdict.HELD_ALREADY,
    202: events.OrderVerdict.ACCEPTED,
    409: events.OrderVerdict.CONFLICT,
    421: events.OrderVerdict.ANOTHER_INCARNATION,
}


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointState:
    """What the endpoint reports of itself, at this moment.

    ``orders`` counts the orders that it has accepted since its start,
    ``started_ms`` is when that was (0 if it does not say).
    ``loading`` are adapters on their way, which take places already.
    ``busy`` tells that an order about a model is under way. ``at_hand`` are
    the models of which it has copies, and needs nothing from the weight store.
    """

    orders: int
    models: tuple[str, ...]
    busy: bool
    held: tuple[messages.AdapterVersion, ...]
    loading: tuple[messages.AdapterVersion, ...]
    waiting: int
    running: int
    started_ms: int = 0
    at_hand: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Load or unload, if ``orders`` were accepted before.

    ``name`` is that of a model, or of an adapter as requests name it.
    """

    load: bool
    name: str
    orders: int
    instance: str
    holder: str


class EndpointControl:
    """Calls to the endpoint at an address, from its own instance."""

    def __init__(
        self, address: str, session: aiohttp.ClientSession | None = None
    ):
        self.url = f'http://{address}/v1'
        self.session = session or outgoing.open_session()

    async def state(self) -> EndpointState:
        """Return the endpoint's report. Raises ``outgoing.CallError``."""
        reply = await outgoing.call(
            self.session, 'GET', f'{self.url}/report', CALL_TIMEOUT_MS
        )
        try:
            return _state(reply.value())
        except routes.MalformedRecordError as error:
            raise outgoing.MaybeDone(str(error)) from error

    async def order(self, order: Order) -> events.OrderVerdict:
        """Send an order. Raises ``NotDone`` or ``MaybeDone``."""
        model, _, adapter = order.name.partition(routes.ADAPTER_SEPARATOR)
        action = Action.LOAD if order.load else Action.UNLOAD
        body = {
            'Opcode': action.value,
            'Model': model,
            'Precondition': order.orders,
            'Holder': order.holder,
            'FenceToken': FENCE,
        }
        if adapter:
            body['Adapter'] = adapter
        response = await outgoing.open_call(
            self.session,
            'POST',
            f'{self.url}/order',
            CALL_TIMEOUT_MS,
            data=json.dumps(body).encode(),
            headers={
                'Content-Type': 'application/json',
                _runs.EXPECTED_INSTANCE: order.instance,
            },
        )
        async with response:
            await outgoing.read_body(response)
        return VERDICTS.get(response.status, events.OrderVerdict.REFUSED)

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()


def _state(value: dict) -> EndpointState:
    models = _fields.objects(value, 'Models')
    pending = _fields.texts(value, 'Pending')
    return EndpointState(
        orders=_fields.whole(value, 'Seq', 0),
        models=_records.held_models(models),
        busy=_fields.truth(value, 'Busy'),
        held=_records.held_adapters(models),
        loading=tuple(map(_records.listed_adapter, pending)),
        waiting=_fields.whole(value, 'Queued', 0),
        running=_fields.whole(value, 'Active', 0),
        started_ms=_records.started_ms(value),
        at_hand=_at_hand(_fields.inner(value, 'AtHand')),
    )


def _at_hand(copies: dict) -> tuple[str, ...]:
    in_memory = _fields.texts(copies, 'InMemory')
    return (*in_memory, *_fields.texts(copies, 'OnDisk'))
