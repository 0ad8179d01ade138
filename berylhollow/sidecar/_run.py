"""One run at the endpoint as the sidecar's shell follows it."""

import asyncio
import dataclasses

from berylhollow import effects
from berylhollow import stream


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A run under way, or one whose frames are still kept.

    ``peer`` is the gateway that the answer goes to. ``accepted`` is set when
    the reducer has passed the head on: before that no byte of the body may
    leave. ``room`` is set when the sender may take more. ``head_seen`` tells
    that the endpoint has the request, ``over`` that its connection is gone,
    ``detached`` that the gateway's link is gone and that it has not resumed,
    ``cancelling`` that nothing but the confirmation is reported any more.
    """

    effect: effects.StartRun
    sender: stream.StreamSender
    began_ms: int
    peer: str
    accepted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    room: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None
    head_ms: int | None = None
    status: int = 0
    body_bytes: int = 0
    over: bool = False
    detached: bool = False
    cancelling: bool = False

    @property
    def attempt_id(self) -> str:
        return self.effect.attempt_id

    @property
    def head_seen(self) -> bool:
        return self.head_ms is not None
