"""Send load and unload orders to the local endpoint and read its report."""

import dataclasses
import enum
import json

import aiohttp

from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.platform import _endpoint_calls
from berylhollow.platform import _fields
from berylhollow.platform import _records
from berylhollow import routes

CALL_TIMEOUT_MS = 200
"""The endpoint is on the same instance and answers within milliseconds.

An unanswered order blocks all later ones. Giving up on it early is safe: if
it arrives after another order was accepted, the endpoint refuses it."""

MAX_ANSWER_BYTES = 1024 * 1024
"""Many times the report of an endpoint with hundreds of adapters."""

FENCING_TOKEN = 1
"""The fencing token of every order.

Only one process, on the same instance, sends orders to an endpoint, and the
endpoint forgets tokens when it restarts, so the token never needs to
increase. Late orders are rejected by the expected sequence number.
"""


class Action(enum.Enum):
    """The operation that an order requests."""

    LOAD = 'load'
    UNLOAD = 'unload'


VERDICT_BY_STATUS = {
    200: events.OrderVerdict.HELD_ALREADY,
    202: events.OrderVerdict.ACCEPTED,
    409: events.OrderVerdict.CONFLICT,
    421: events.OrderVerdict.ANOTHER_INCARNATION,
}


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointState:
    """The current state that an endpoint reports.

    ``orders`` counts the orders accepted since the endpoint started, at
    ``started_ms`` (0 if unknown). ``held`` are the loaded adapters,
    ``loading`` those being loaded, which already occupy slots.
    ``has_order_in_progress`` is true while an order for a model is in
    progress. ``local_models`` are the models with a local copy, which load
    without the weight store.
    """

    orders: int
    models: tuple[str, ...]
    has_order_in_progress: bool
    held: tuple[messages.AdapterVersion, ...]
    loading: tuple[messages.AdapterVersion, ...]
    waiting: int
    running: int
    started_ms: int = 0
    local_models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload a model or an adapter.

    The endpoint accepts it only if its count of accepted orders is
    ``orders``. ``name`` is a model's name, or an adapter's name as in
    requests.
    """

    load: bool
    name: str
    orders: int
    instance: str
    holder: str


class EndpointControlClient:
    """Control client for the endpoint on the same instance."""

    def __init__(
        self, address: str, session: aiohttp.ClientSession | None = None
    ):
        self.url = f'http://{address}/v1'
        self.session = session or outgoing.open_session()

    async def state(self) -> EndpointState:
        """Fetch the endpoint's report. Raises ``outgoing.CallError``."""
        reply = await outgoing.call(
            self.session,
            'GET',
            f'{self.url}/report',
            CALL_TIMEOUT_MS,
            MAX_ANSWER_BYTES,
        )
        try:
            return _parse_state(reply.value())
        except routes.MalformedRecordError as error:
            raise outgoing.CallOutcomeUnknown(str(error)) from error

    async def order(self, order: Order) -> events.OrderVerdict:
        """Send an order and return the verdict.

        Raises ``outgoing.CallNotSent`` or ``outgoing.CallOutcomeUnknown``.
        """
        model, _, adapter = order.name.partition(routes.ADAPTER_SEPARATOR)
        action = Action.LOAD if order.load else Action.UNLOAD
        body = {
            'Opcode': action.value,
            'Model': model,
            'Precondition': order.orders,
            'Holder': order.holder,
            'FenceToken': FENCING_TOKEN,
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
                _endpoint_calls.EXPECTED_INSTANCE_HEADER: order.instance,
            },
        )
        async with response:
            await outgoing.read_body(response, MAX_ANSWER_BYTES)
        return VERDICT_BY_STATUS.get(
            response.status, events.OrderVerdict.REFUSED
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def _parse_state(value: dict) -> EndpointState:
    models = _fields.objects(value, 'Models')
    pending = _fields.strings(value, 'Pending')
    return EndpointState(
        orders=_fields.integer(value, 'Seq', 0),
        models=_records.loaded_models(models),
        has_order_in_progress=_fields.boolean(value, 'Busy'),
        held=_records.loaded_adapters(models),
        loading=tuple(map(_records.parse_adapter, pending)),
        waiting=_fields.integer(value, 'Queued', 0),
        running=_fields.integer(value, 'Active', 0),
        started_ms=_records.started_ms(value),
        local_models=_locally_stored_models(
            _fields.nested_object(value, 'AtHand')
        ),
    )


def _locally_stored_models(copies: dict) -> tuple[str, ...]:
    in_memory = _fields.strings(copies, 'InMemory')
    return (*in_memory, *_fields.strings(copies, 'OnDisk'))
