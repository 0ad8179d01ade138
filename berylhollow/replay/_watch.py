"""What a replay sees of the sidecars beside the callers' own answers."""

import collections
import dataclasses

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.replay import _facts
from berylhollow import sidecar


@dataclasses.dataclass
class Watch:
    """Stalls by request, loads, and how often each key ran.

    ``wasted`` counts loads of adapters that left their slot without a run.
    """

    stalled_ms: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    loads: int = 0
    wasted: int = 0
    failed: int = 0
    key_runs: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unused: dict[tuple[str, int], messages.AdapterVersion] = dataclasses.field(
        default_factory=dict
    )
    keys: dict[str, str] = dataclasses.field(default_factory=dict)

    def reduce(self, state, event):
        """Reduce as a sidecar does, and look at what comes of it."""
        state, done = sidecar.reduce(state, event)
        if type(event) is events.LoadSucceeded:
            self._loaded(state, event)
        elif type(event) is events.LoadFailed:
            self.failed += 1
        for effect in done:
            self._look(state, effect)
        return state, done

    def fact(self, fact: _facts.Fact) -> None:
        """Count the runs of requests with a key."""
        if type(fact) is _facts.RunBegan and fact.request_id in self.keys:
            self.key_runs[self.keys[fact.request_id]] += 1

    @property
    def doubled(self) -> int:
        """How many keys ran more than once."""
        return sum(runs > 1 for runs in self.key_runs.values())

    def _look(self, state, effect: effects.Effect) -> None:
        kind = type(effect)
        if kind is effects.StartRun:
            attempt = state.attempts[effect.attempt_id]
            self.stalled_ms[effect.offer.request_id] += attempt.stalled_ms
            if attempt.slot is not None:
                place = (state.options.instance, attempt.slot)
                self.unused.pop(place, None)
        elif kind is effects.LoadAdapter:
            place = (state.options.instance, effect.slot)
            if self.unused.pop(place, None) is not None:
                self.wasted += 1
        elif kind is effects.Send and type(effect.message) is messages.Failed:
            self._refused(state, effect.message)

    def _refused(self, state, failed: messages.Failed) -> None:
        attempt = state.attempts.get(failed.attempt_id)
        if attempt is not None and not attempt.began_ms:
            request_id = attempt.offer.request_id
            self.stalled_ms[request_id] += attempt.stalled_ms

    def _loaded(self, state, event: events.LoadSucceeded) -> None:
        slot = state.slot_of_order(event.order_id)
        if slot is None or slot.phase is not sidecar.SlotPhase.READY:
            return
        self.loads += 1
        if not slot.runs:
            place = (state.options.instance, slot.number)
            self.unused[place] = slot.adapter
