"""Callers of an overload run: they send again what was refused."""

import dataclasses
import enum
import random

from berylhollow import configuration
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import replay
from berylhollow.replay import _deployment
from berylhollow import settings

AT_ONCE_MS = 20
"""A caller that resends at once needs this long to do so."""
NO_HINT_MS = 1000
"""How long a patient caller waits that was not told how long."""
JITTER = 0.25
DRAIN_MS = 30_000
ANSWERED = (replay.Ending.WHOLE, replay.Ending.STORED)


class Habit(enum.Enum):
    """What a caller does with a request that was refused as not run."""

    RETRY_AFTER = 'after Retry-After'
    AT_ONCE = 'at once'


@dataclasses.dataclass
class Wish:
    """What a caller wants, over all the requests that it sends for it."""

    item: replay.TraceRequest
    due_ms: float
    sent: int = 0
    on_time: bool = False
    refused_ms: list[float] = dataclasses.field(default_factory=list)


class Callers:
    """Sends a trace, and each refused request again until its deadline."""

    def __init__(
        self,
        declared: settings.ReplaySettings,
        view: configuration.Configuration,
        items: list[replay.TraceRequest],
        habit: Habit,
        seed: int,
    ):
        self.declared = declared
        self.items = items
        self.habit = habit
        self.random = random.Random(seed)
        self.world = _deployment.build(declared, view, declared.policy, seed)
        self.world.record.observers.append(self.look)
        self.wishes: list[Wish] = []
        self.by_request: dict[str, Wish] = {}

    def run(self) -> list[Wish]:
        """Send the whole trace and return what became of each wish."""
        world = self.world
        start_ms = _deployment.SETTLED_MS
        world.run_until(start_ms)
        for item in self.items:
            world.run_until(start_ms + item.at_ms)
            wish = Wish(item, world.now_ms + item.deadline_ms)
            self.wishes.append(wish)
            self.send(wish)
        world.run_until(world.now_ms + DRAIN_MS)
        return self.wishes

    def send(self, wish: Wish) -> None:
        """Send a request for a wish, with the time that is left."""
        left_ms = int(wish.due_ms - self.world.now_ms)
        if left_ms <= 0:
            return
        wish.sent += 1
        request_id = f'r{len(self.by_request)}'
        self.by_request[request_id] = wish
        number = self.random.randrange(self.declared.gateways) + 1
        self.world.request(
            f'gateway-{number}', as_request(wish.item, request_id, left_ms)
        )

    def look(self, fact: object) -> None:
        """See what a request's answer means for its wish."""
        if type(fact) is not replay.Answered:
            return
        exchange = fact.exchange
        wish = self.by_request[exchange.request.request_id]
        if exchange.ending in ANSWERED:
            wish.on_time = exchange.ended_ms <= wish.due_ms
            return
        if exchange.ran is not errors.Ran.NOT_RUN:
            return
        wish.refused_ms.append(exchange.ended_ms - exchange.sent_ms)
        self.world.schedule(
            self.pause_ms(exchange),
            replay.Point.OTHER,
            'resend',
            '',
            self.send,
            wish,
        )

    def pause_ms(self, exchange: replay.Exchange) -> float:
        """Return how long the caller waits before it sends again."""
        if self.habit is Habit.AT_ONCE:
            return AT_ONCE_MS
        hint_ms = exchange.retry_after_ms or NO_HINT_MS
        return hint_ms * (1 + JITTER * self.random.random())


def as_request(
    item: replay.TraceRequest, request_id: str, left_ms: int
) -> events.Request:
    """Return an item of a trace as a gateway gets it."""
    adapter = None
    if item.adapter:
        adapter = messages.AdapterVersion(item.adapter, item.version)
    return events.Request(
        request_id=request_id,
        caller=item.caller,
        service=item.service,
        adapter=adapter,
        key=item.key,
        priority=item.priority,
        deadline_ms=left_ms,
        fingerprint=request_id,
        method='POST',
        path='/',
        headers=(),
        body=request_id.encode(),
        prompt_tokens=item.prompt_tokens,
        output_tokens=item.output_tokens,
    )
