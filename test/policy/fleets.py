"""Builders for the data that policies work on, and a fixed fleet."""

import dataclasses

from berylhollow import policy
from test import builders


def want(name='a1', slacks_ms=(5000,), **changes):
    values = {
        'adapter': builders.adapter(name),
        'waiting': len(slacks_ms),
        'slacks_ms': tuple(slacks_ms),
        'oldest_wait_ms': 0,
        'priority': 0,
        'adapter_priority': 0,
        'rate': 0.0,
    }
    return policy.AwaitedAdapter(**(values | changes))


def held(name='a1', **changes):
    values = {
        'adapter': builders.adapter(name),
        'loaded_ms': 0,
        'used_ms': 0,
        'runs': 1,
        'rate': 0.0,
        'priority': 0,
    }
    return policy.HeldAdapter(**(values | changes))


def query(name='a1', **changes):
    values = {
        'adapter': builders.adapter(name) if name else None,
        'caller': 'caller-1',
        'priority': 0,
        'remaining_ms': 10_000,
        'output_tokens': 50,
        'weights': policy.Weights(),
        'seed': 0.0,
    }
    return policy.RouteQuery(**(values | changes))


def view(name, **changes):
    values = {
        'name': name,
        'failure_domain': 'sul-a',
        'capacity': 4,
        'in_flight': 0,
        'run_ms': 1000.0,
        'loads_waiting': 0,
        'evictable': True,
        'victim_value': 0.0,
    }
    return policy.EndpointView(**(values | changes))


@dataclasses.dataclass
class FixedFleet:
    """A fleet with fixed contents; all lists keep the given order.

    ``ready`` names the holders of every adapter, ``pending`` the endpoints
    that wait for a load, ``recent`` those that held an adapter recently.
    """

    views: dict
    ready: tuple = ()
    pending: tuple = ()
    load_ms: float = 500.0
    recent: tuple = ()

    def names(self):
        return list(self.views)

    def holders(self, adapter):
        return list(self.ready)

    def awaiting(self, adapter):
        return list(self.pending)

    def ranked(self, adapter):
        return iter(self.views)

    def view(self, name):
        return self.views[name]

    def sample(self, seed, count):
        return list(self.views)[:count]

    def load_of(self, name):
        endpoint = self.views[name]
        return endpoint.in_flight / endpoint.capacity, name

    def least_loaded(self):
        return min(self.views, key=self.load_of, default=None)

    def has_held_recently(self, name, adapter):
        return name in self.recent

    def load_wait_ms(self):
        return self.load_ms


def fleet(*views, **changes):
    return FixedFleet({item.name: item for item in views}, **changes)
