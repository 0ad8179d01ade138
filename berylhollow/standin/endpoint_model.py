"""A model of a direct endpoint: its adapters, its slots and its queue."""

import asyncio
import collections.abc
import contextlib
import dataclasses

DONE_STATUS = 200
ACCEPTED_STATUS = 202
CONFLICT_STATUS = 409
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503


class NotRunError(Exception):
    """The endpoint refuses a request that it has not run."""

    def __init__(self, status: int):
        super().__init__(f'not run: {status}')
        self.status = status


@dataclasses.dataclass(frozen=True, eq=False)
class Run:
    """A request that waits for a slot or occupies one.

    ``name`` is the adapter with its model. ``turn`` resolves when the request
    has a slot, and fails if it will not get one.
    """

    name: tuple[str, str]
    turn: asyncio.Future[None]


class EndpointModel:
    """Adapters by model, and the requests that run with them or wait.

    Without ``slots`` every request begins at once. With them, ``places`` more
    requests wait for a slot. ``newest`` has the versions that a load fetches,
    1 by default. ``changes`` are orders that wait for the runs of their
    adapter: the version to hold next, None for an unload.
    """

    def __init__(self, slots: int | None = None, places: int = 0):
        self.slots = slots
        self.places = places
        self.models: dict[str, dict[str, int]] = {}
        self.newest: dict[str, int] = {}
        self.orders = 0
        self.changes: dict[tuple[str, str], int | None] = {}
        self.running: list[Run] = []
        self.waiting: list[Run] = []

    def clear(self) -> None:
        """Forget everything, as a restart does; what waits is not run."""
        self.models = {}
        self.orders = 0
        self.changes = {}
        self.running = []
        self._flush(self.waiting)

    @contextlib.asynccontextmanager
    async def slot(
        self, model: str, adapter: str, expected: str | None
    ) -> collections.abc.AsyncIterator[int | None]:
        """Wait for a slot and yield the version with which the run begins.

        ``expected`` is compared with the version that is held now, which may
        not be the one with which the request begins. Raises ``NotRunError``.
        """
        run = Run((model, adapter), asyncio.get_running_loop().create_future())
        self._check_present(run.name, expected)
        if self._has_free_slot:
            self._start(run)
        elif len(self.waiting) < self.places:
            self.waiting.append(run)
        else:
            raise NotRunError(UNAVAILABLE_STATUS)
        try:
            await run.turn
            yield self._version(run.name)
        finally:
            self._leave(run)

    def order(
        self,
        opcode: str,
        model: str,
        adapter: str | None,
        expected_orders: int | None,
    ) -> int:
        """Carry out an order, or begin to, and return its status."""
        if expected_orders not in (None, self.orders):
            return CONFLICT_STATUS
        if adapter and model not in self.models:
            return CONFLICT_STATUS
        self.orders += 1
        if adapter and opcode == 'unload':
            return self._change((model, adapter), None)
        if opcode == 'unload':
            return DONE_STATUS
        self.models.setdefault(model, {})
        if adapter:
            self._change((model, adapter), self.newest.get(adapter, 1))
        return ACCEPTED_STATUS

    @property
    def loading(self) -> list[str]:
        """The loads that wait for runs, as MODEL/NAME@VERSION."""
        return [
            f'{model}/{adapter}@{version}'
            for (model, adapter), version in self.changes.items()
            if version is not None
        ]

    @property
    def _has_free_slot(self) -> bool:
        return self.slots is None or len(self.running) < self.slots

    def _check_present(
        self, name: tuple[str, str], expected: str | None
    ) -> None:
        model, adapter = name
        if model and model not in self.models:
            raise NotRunError(MISDIRECTED_STATUS)
        if not adapter:
            return
        if name in self.changes:
            raise NotRunError(UNAVAILABLE_STATUS)
        held = self._version(name)
        if held is None or expected not in (None, str(held)):
            raise NotRunError(MISDIRECTED_STATUS)

    def _version(self, name: tuple[str, str]) -> int | None:
        model, adapter = name
        return self.models.get(model, {}).get(adapter)

    def _change(self, name: tuple[str, str], version: int | None) -> int:
        """Change the version that is held once its runs have ended.

        Return the status of the order: accepted while it waits, then done.
        """
        self.changes.pop(name, None)
        if version != self._version(name):
            self.changes[name] = version
            self._flush([run for run in self.waiting if run.name == name])
            self._proceed()
        return ACCEPTED_STATUS if name in self.changes else DONE_STATUS

    def _flush(self, runs: list[Run]) -> None:
        for run in [*runs]:
            self.waiting.remove(run)
            if not run.turn.done():
                run.turn.set_exception(NotRunError(UNAVAILABLE_STATUS))

    def _start(self, run: Run) -> None:
        self.running.append(run)
        run.turn.set_result(None)

    def _leave(self, run: Run) -> None:
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)
        self._proceed()

    def _proceed(self) -> None:
        """Carry out orders whose runs have ended, then fill free slots."""
        in_use = {run.name for run in self.running}
        for name in [name for name in self.changes if name not in in_use]:
            self._hold(name, self.changes.pop(name))
        while self.waiting and self._has_free_slot:
            run = self.waiting.pop(0)
            if not run.turn.done():
                self._start(run)

    def _hold(self, name: tuple[str, str], version: int | None) -> None:
        model, adapter = name
        held = self.models.get(model, {})
        if version is None:
            held.pop(adapter, None)
        else:
            held[adapter] = version
