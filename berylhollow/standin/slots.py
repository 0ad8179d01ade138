"""The adapter slots of an engine model and the orders for them."""

import dataclasses

from berylhollow import endpoint
from berylhollow import messages
from berylhollow.standin import engine_types
from berylhollow.standin import failures


class SlotTable:
    """Slots of one engine epoch; a restart creates a new table.

    The highest fencing number seen is lost with the table, so that after a
    restart only the epoch of an order shows that it is old.
    """

    def __init__(self, epoch: str, limits: engine_types.EngineLimits):
        self.epoch = epoch
        self.limits = limits
        self.highest_fence = 0
        self.orders: dict[str, endpoint.SlotOrder] = {}
        self.slots = [endpoint.Slot(slot) for slot in range(limits.slot_count)]

    def begin_load(self, order: endpoint.SlotOrder) -> None:
        """Start loading into a slot; raises as ``check_order`` does."""
        self.check_order(order)
        self.orders[order.order] = order
        self.slots[order.slot] = endpoint.Slot(
            order.slot, order.adapter, endpoint.SlotState.LOADING
        )

    def finish_load(self, order_id: str, loaded: bool) -> bool:
        """End a load; return whether its adapter is now ready.

        Also False if a later order took the slot or the order is unknown,
        such as one from before a restart.
        """
        order = self.orders.pop(order_id, None)
        if order is None:
            return False
        loading = endpoint.Slot(
            order.slot, order.adapter, endpoint.SlotState.LOADING
        )
        if self.slots[order.slot] != loading:
            return False
        if not loaded:
            self.slots[order.slot] = endpoint.Slot(order.slot)
            return False
        self.slots[order.slot] = dataclasses.replace(
            loading, state=endpoint.SlotState.READY
        )
        return True

    def unload(self, order: endpoint.SlotOrder) -> None:
        """Empty a slot; raises as ``check_order`` does."""
        self.check_order(order)
        self.slots[order.slot] = endpoint.Slot(order.slot)

    def check_order(self, order: endpoint.SlotOrder) -> None:
        """Raise ``WrongEpoch``, ``StaleFence`` or ``UnknownSlot``."""
        if order.epoch != self.epoch:
            raise failures.WrongEpoch(f'this is {self.epoch}')
        if self.limits.checks_fencing and order.fence < self.highest_fence:
            raise failures.StaleFence(f'{self.highest_fence} was seen')
        if not 0 <= order.slot < len(self.slots):
            raise failures.UnknownSlot(f'there is no slot {order.slot}')
        self.highest_fence = max(self.highest_fence, order.fence)

    def ready_slot(self, adapter: messages.AdapterVersion) -> int:
        """Return a ready slot, or raise ``AdapterNotLoaded``."""
        for slot in self.slots:
            ready = slot.state == endpoint.SlotState.READY
            if ready and slot.adapter == adapter:
                return slot.slot
        raise failures.AdapterNotLoaded(str(adapter))

    def serving_adapter(self, slot: int) -> messages.AdapterVersion:
        """Return the slot's adapter, or the base model if it is empty."""
        adapter = self.slots[slot].adapter
        if adapter is None:
            return messages.AdapterVersion(
                self.limits.base_model, engine_types.BASE_MODEL_VERSION
            )
        return adapter
