"""The requests of an engine model: its waiting queue and its batch."""

import dataclasses

from berylhollow import messages
from berylhollow.standin import engine_types


@dataclasses.dataclass
class Job:
    """A request inside the engine, bound to a slot when it was taken in."""

    ticket: int
    slot: int
    request: engine_types.EngineRequest
    prefill_left: int = 0
    cached_tokens: int = 0
    tokens: int = 0
    ran: tuple[messages.AdapterVersion, ...] = ()

    def note_adapter(self, adapter: messages.AdapterVersion) -> None:
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
        """Fill the batch from the queue; return the jobs that it took."""
        self.waiting.sort(key=_urgency)
        room = self.limits.batch_limit - len(self.running)
        taken = self.waiting[:room]
        del self.waiting[:room]
        self.running.extend(taken)
        return taken

    def prefill(self) -> int:
        """Prefill a chunk of prompts in order; return its tokens."""
        room = self.limits.prefill_chunk
        for job in self.running:
            part = min(room, job.prefill_left)
            job.prefill_left -= part
            room -= part
        return self.limits.prefill_chunk - room

    def step_ms(self, prefilled: int, adapters: int) -> float:
        """Return what a step of the present batch costs."""
        limits = self.limits
        return (
            limits.step_ms
            + limits.request_ms * len(self.running)
            + limits.adapter_ms * adapters
            + limits.prefill_ms * prefilled
        )

    def find(self, request: str) -> list[Job]:
        """Return every job of a request id."""
        return [
            job
            for job in self.waiting + self.running
            if job.request.request == request
        ]

    def drop(self, job: Job) -> bool:
        """Take a job out; return whether it was running."""
        if job in self.running:
            self.running.remove(job)
            return True
        self.waiting.remove(job)
        return False


def _urgency(job: Job) -> tuple[int, int]:
    return (-job.request.priority, job.ticket)
