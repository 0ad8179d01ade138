"""State that the sidecar's shell keeps of a run at the endpoint."""

import asyncio
import dataclasses

from berylhollow import effects
from berylhollow import stream


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A run in flight, or one whose frames are kept until acknowledged.

    ``peer`` is the gateway that the answer is sent to. The events:

    - ``accepted``: the reducer has passed the head on. No byte of the body
      may be sent before.
    - ``writable``: the sender or the link may have become able to take more.

    The flags:

    - ``has_head``: the answer's head has arrived, so the endpoint has the
      request.
    - ``connection_closed``: the connection to the endpoint is gone.
    - ``detached``: the gateway's link is gone and it has not resumed yet.
    - ``cancelling``: a cancel is in flight; only its confirmation is still
      reported.
    """

    effect: effects.StartRun
    sender: stream.StreamSender
    began_ms: int
    peer: str
    accepted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    writable: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None
    head_ms: int | None = None
    status: int = 0
    body_bytes: int = 0
    connection_closed: bool = False
    detached: bool = False
    cancelling: bool = False

    @property
    def attempt_id(self) -> str:
        return self.effect.attempt_id

    @property
    def has_head(self) -> bool:
        return self.head_ms is not None
