"""Model of a model engine with a few adapter slots.

It obeys every order, even a harmful one: from the moment a load is ordered
into a slot with running requests, their tokens come from the new adapter.
Real engines differ; the model does so to make a caller's mistakes visible in
the responses and in ``runs``.
"""

import collections
import math

from berylhollow import endpoint
from berylhollow import messages
from berylhollow.standin import batch
from berylhollow.standin import engine_types
from berylhollow.standin import failures
from berylhollow.standin import faults
from berylhollow.standin import lagged
from berylhollow.standin import prefix_cache
from berylhollow.standin import slots

MAX_RUNS = 20_000


class EngineModel:
    """An engine with adapter slots, continuous batching and a prefix cache."""

    def __init__(
        self,
        name: str = 'engine',
        limits: engine_types.EngineLimits | None = None,
        switches: faults.FaultSwitches | None = None,
    ):
        self.name = name
        self.limits = limits or engine_types.EngineLimits()
        self.faults = switches or faults.FaultSwitches()
        self.lives = 0
        self.last_ticket = 0
        self.usage = engine_types.Usage()
        self.available_from_ms: float = 0
        self.outputs: list[engine_types.Output] = []
        self.ended_runs: collections.deque[engine_types.Run] = (
            collections.deque(maxlen=MAX_RUNS)
        )
        self.cache = prefix_cache.PrefixCache(
            self.limits.cache_tokens,
            self.limits.event_lag_ms,
            self.limits.event_gap_every,
        )
        self.start_incarnation(0)

    def start_incarnation(self, now_ms: float) -> None:
        """Start with a new epoch, empty slots and an empty cache."""
        self.lives += 1
        self.epoch = f'{self.name}-{self.lives}'
        self.slots = slots.SlotTable(self.epoch, self.limits)
        self.batch = batch.Batch(self.limits)
        self.cache.clear()
        self.step_end_ms = math.inf
        self.lagged_status = lagged.Lagged(
            self.limits.status_lag_ms, self.current_status(), now_ms
        )

    # Orders

    def begin_load(self, order: endpoint.SlotOrder, now_ms: float) -> None:
        """Accept a load; ``finish_load`` ends it once weights have arrived.

        Raises ``Unavailable``, ``WrongEpoch``, ``StaleFence`` or
        ``UnknownSlot``, without any change.
        """
        self.check_available(now_ms)
        self.slots.begin_load(order)
        self.record_status(now_ms)

    def finish_load(self, order_id: str, loaded: bool, now_ms: float) -> bool:
        """End a load; return whether the adapter is ready in its slot.

        Also False if the engine restarted or a later order took the slot.
        """
        self.run_until(now_ms)
        ready = self.slots.finish_load(order_id, loaded)
        self.record_status(now_ms)
        return ready

    def unload(self, order: endpoint.SlotOrder, now_ms: float) -> None:
        """Empty a slot; raises as ``begin_load`` does."""
        self.check_available(now_ms)
        self.slots.unload(order)
        self.record_status(now_ms)

    # Requests

    def submit(
        self, request: engine_types.EngineRequest, now_ms: float
    ) -> int:
        """Queue a request; return the ticket that its outputs carry.

        Raises ``Unavailable`` or ``AdapterNotLoaded``; nothing was queued.
        """
        self.check_available(now_ms)
        slot = self.slots.ready_slot(request.adapter)
        self.last_ticket += 1
        self.batch.waiting.append(batch.Job(self.last_ticket, slot, request))
        if self.step_end_ms == math.inf:
            self.begin_step(now_ms)
        self.record_status(now_ms)
        return self.last_ticket

    def cancel(self, request: str, now_ms: float) -> bool:
        """Drop a waiting or running request; return whether it existed."""
        self.run_until(now_ms)
        jobs = self.batch.find(request)
        for job in jobs:
            self.cancel_job(job, now_ms)
        self.record_status(now_ms)
        return bool(jobs)

    def abandon(self, ticket: int, now_ms: float) -> None:
        """Drop a submission whose client disconnected, if it still exists."""
        self.run_until(now_ms)
        for job in self.batch.waiting + self.batch.running:
            if job.ticket == ticket:
                self.cancel_job(job, now_ms)
        self.record_status(now_ms)

    def cancel_job(self, job: batch.Job, now_ms: float) -> None:
        if self.batch.remove_job(job):
            self.record_run(job, engine_types.RunOutcome.CANCELLED)
        self.outputs.append(engine_types.Broken(job.ticket, now_ms))

    def advance(self, now_ms: float) -> list[engine_types.Output]:
        """Return the outputs since the last call, in order."""
        self.run_until(now_ms)
        outputs = self.outputs
        self.outputs = []
        return outputs

    def next_event_ms(self) -> float:
        """Return when the current step ends; infinity if idle."""
        return self.step_end_ms

    # Crash and restart

    def crash(self, now_ms: float, down_ms: float | None = None) -> None:
        """Break all requests and restart empty after ``down_ms``."""
        self.run_until(now_ms)
        if down_ms is None:
            down_ms = self.limits.restart_ms
        self.fail_and_restart(now_ms, down_ms)

    def fail_and_restart(self, now_ms: float, down_ms: float) -> None:
        for job in self.batch.running:
            self.record_run(job, engine_types.RunOutcome.BROKEN)
        for job in self.batch.running + self.batch.waiting:
            self.outputs.append(engine_types.Broken(job.ticket, now_ms))
        self.available_from_ms = now_ms + down_ms
        self.start_incarnation(now_ms)

    def check_available(self, now_ms: float) -> None:
        """Raise ``Unavailable`` if the engine is down."""
        self.run_until(now_ms)
        if now_ms < self.available_from_ms:
            raise failures.Unavailable('the engine is down')

    # Reports

    def status(self, now_ms: float) -> endpoint.EngineStatus:
        """Return the status of this incarnation, late by the status lag.

        Under ``STATUS_STALE``, the status returned last. Raises
        ``Unavailable``.
        """
        self.check_available(now_ms)
        if self.faults.active(faults.EngineFault.STATUS_STALE, now_ms):
            return self.lagged_status.last_read
        return self.lagged_status.read(now_ms)

    def events(
        self, after: int, now_ms: float
    ) -> tuple[endpoint.CacheEvent, ...]:
        """Return the cache events after a number, late and with gaps."""
        self.check_available(now_ms)
        return self.cache.events(after, now_ms)

    def runs(self) -> tuple[engine_types.Run, ...]:
        """Return the records of the requests that began to run."""
        running = engine_types.RunOutcome.RUNNING
        return tuple(self.ended_runs) + tuple(
            job.run(self.epoch, running) for job in self.batch.running
        )

    def record_status(self, now_ms: float) -> None:
        self.lagged_status.record(self.current_status(), now_ms)

    def current_status(self) -> endpoint.EngineStatus:
        """Return the status without lag."""
        return endpoint.EngineStatus(
            self.epoch,
            self.limits.base_model,
            tuple(self.slots.slots),
            self.limits.batch_limit,
            len(self.batch.running),
            len(self.batch.waiting),
            self.slots.highest_fence,
        )

    # Steps

    def run_until(self, now_ms: float) -> None:
        while self.step_end_ms <= now_ms:
            self.end_step(self.step_end_ms)

    def begin_step(self, now_ms: float) -> None:
        for job in self.batch.admit():
            job.cached_tokens = self.cache.lookup_or_store(job.request, now_ms)
            job.prefill_left = job.request.prompt_tokens - job.cached_tokens
        if not self.batch.running:
            self.step_end_ms = math.inf
            return
        prefilled = self.batch.prefill()
        adapters = {self.adapter_of(job) for job in self.batch.running}
        step_ms = self.batch.step_ms(prefilled, len(adapters))
        if self.faults.active(faults.EngineFault.SLOW, now_ms):
            step_ms *= self.limits.slow_factor
        self.usage.busy_ms += step_ms
        self.usage.steps += 1
        self.usage.places += len(self.batch.running)
        start_ms = now_ms
        if self.faults.active(faults.EngineFault.HANG, now_ms):
            start_ms = self.faults.end_ms(faults.EngineFault.HANG)
        self.step_end_ms = start_ms + step_ms

    def end_step(self, now_ms: float) -> None:
        if any(job.request.crashes_engine for job in self.batch.running):
            self.fail_and_restart(now_ms, self.limits.restart_ms)
            return
        for job in list(self.batch.running):
            if job.prefill_left == 0:
                self.produce_token(job, now_ms)
        self.begin_step(now_ms)
        self.record_status(now_ms)

    def produce_token(self, job: batch.Job, now_ms: float) -> None:
        adapter = self.adapter_of(job)
        job.record_adapter(adapter)
        self.outputs.append(
            engine_types.Token(job.ticket, job.tokens, adapter, now_ms)
        )
        job.tokens += 1
        self.usage.tokens += 1
        if job.tokens < job.request.output_tokens:
            return
        self.batch.remove_job(job)
        self.record_run(job, engine_types.RunOutcome.FINISHED)
        self.outputs.append(
            engine_types.Finished(
                job.ticket, adapter, job.cached_tokens, now_ms
            )
        )

    def adapter_of(self, job: batch.Job) -> messages.AdapterVersion:
        """Return the adapter that its slot holds now, which serves the job."""
        return self.slots.serving_adapter(job.slot)

    def record_run(
        self, job: batch.Job, outcome: engine_types.RunOutcome
    ) -> None:
        self.ended_runs.append(job.run(self.epoch, outcome))
