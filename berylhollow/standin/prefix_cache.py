"""Model of an engine's prefix cache and of the events that it publishes."""

import collections

from berylhollow import endpoint
from berylhollow import messages
from berylhollow.standin import engine_types

MAX_EVENTS = 1000

PrefixKey = tuple[messages.AdapterVersion, str]


class PrefixCache:
    """Prompt prefixes in limited memory, with LRU eviction.

    Every ``gap_every``-th event is never published; the others are late.
    """

    def __init__(self, capacity_tokens: int, lag_ms: int, gap_every: int):
        self.capacity_tokens = capacity_tokens
        self.lag_ms = lag_ms
        self.gap_every = gap_every
        self.prefixes: collections.OrderedDict[PrefixKey, int] = (
            collections.OrderedDict()
        )
        self.used_tokens = 0
        self.sequence = 0
        self.published: collections.deque[endpoint.CacheEvent] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def lookup_or_store(
        self, request: engine_types.EngineRequest, now_ms: float
    ) -> int:
        """Return how many prompt tokens are cached; store a new prefix."""
        key = (request.adapter, request.prefix)
        if key in self.prefixes:
            self.prefixes.move_to_end(key)
            return min(self.prefixes[key], request.prompt_tokens)
        if 0 < request.prefix_tokens <= self.capacity_tokens:
            self.store(key, request.prefix_tokens, now_ms)
        return 0

    def store(self, key: PrefixKey, tokens: int, now_ms: float) -> None:
        while self.used_tokens + tokens > self.capacity_tokens:
            oldest, freed = self.prefixes.popitem(last=False)
            self.used_tokens -= freed
            self.publish(endpoint.CacheChange.EVICTED, oldest, freed, now_ms)
        self.prefixes[key] = tokens
        self.used_tokens += tokens
        self.publish(endpoint.CacheChange.STORED, key, tokens, now_ms)

    def publish(
        self,
        change: endpoint.CacheChange,
        key: PrefixKey,
        tokens: int,
        now_ms: float,
    ) -> None:
        self.sequence += 1
        if self.gap_every and self.sequence % self.gap_every == 0:
            return
        adapter, prefix = key
        self.published.append(
            endpoint.CacheEvent(
                self.sequence, now_ms, change, adapter, prefix, tokens
            )
        )

    def events(
        self, after: int, now_ms: float
    ) -> tuple[endpoint.CacheEvent, ...]:
        """Return the published events after a sequence number."""
        return tuple(
            event
            for event in self.published
            if event.sequence > after and event.at_ms + self.lag_ms <= now_ms
        )

    def clear(self) -> None:
        """Empty the cache without publishing events, as a restart does."""
        self.prefixes.clear()
        self.used_tokens = 0
