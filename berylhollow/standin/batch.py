"""The waiting queue and the running batch of an engine model."""

import dataclasses

from berylhollow import messages
from berylhollow.standin import engine_types


@dataclasses.dataclass
class Job:
    """A request inside the engine, bound to a slot when submitted."""

    ticket: int
    slot: int
    request: engine_types.EngineRequest
    prefill_left: int = 0
    cached_tokens: int = 0
    tokens: int = 0
    ran: tuple[messages.AdapterVersion, ...] = ()

    def record_adapter(self, adapter: messages.AdapterVersion) -> None:
        if not self.ran or self.ran[-1] != adapter:
            self.ran += (adapter,)

    def run(
        self, epoch: str, outcome: engine_types.RunOutcome
    ) -> engine_types.Run:
        return engine_types.Run(
            self.request.request,
            self.request.adapter,
            self.ran,
            epoch,
            outcome,
            self.tokens,
        )


class Batch:
    """Waiting and running jobs under continuous batching."""

    def __init__(self, limits: engine_types.EngineLimits):
        self.limits = limits
        self.waiting: list[Job] = []
        self.running: list[Job] = []

    def admit(self) -> list[Job]:
        """Fill the batch from the queue; return the admitted jobs."""
        self.waiting.sort(key=_admission_key)
        free = self.limits.batch_limit - len(self.running)
        admitted = self.waiting[:free]
        del self.waiting[:free]
        self.running.extend(admitted)
        return admitted

    def prefill(self) -> int:
        """Prefill one chunk of prompt tokens in order; return its size."""
        budget = self.limits.prefill_chunk
        for job in self.running:
            chunk = min(budget, job.prefill_left)
            job.prefill_left -= chunk
            budget -= chunk
        return self.limits.prefill_chunk - budget

    def step_ms(self, prefilled: int, adapters: int) -> float:
        """Return the duration of a step of the current batch."""
        limits = self.limits
        return (
            limits.step_ms
            + limits.request_ms * len(self.running)
            + limits.adapter_ms * adapters
            + limits.prefill_ms * prefilled
        )

    def find(self, request: str) -> list[Job]:
        """Return all jobs with this request ID."""
        return [
            job
            for job in self.waiting + self.running
            if job.request.request == request
        ]

    def remove_job(self, job: Job) -> bool:
        """Remove a job; return whether it was running."""
        if job in self.running:
            self.running.remove(job)
            return True
        self.waiting.remove(job)
        return False


def _admission_key(job: Job) -> tuple[int, int]:
    return (-job.request.priority, job.ticket)
