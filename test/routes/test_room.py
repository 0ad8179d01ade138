"""How many adapters an endpoint can hold, by its slots and its memory."""

import unittest

from berylhollow import platform
from berylhollow import routes
from test import platform_builders as builders


def engine(**changes):
    record = builders.configuration_record(engine=changes)
    table = platform.decode_configuration_record(record)
    return table.services[0].engine


def model(name='m', weights_mb=70_000.0, adapter_mb=400.0):
    return {
        'Name': name,
        'WeightsMb': weights_mb,
        'Adapters': 3000,
        'AdapterMb': adapter_mb,
    }


class RoomTest(unittest.TestCase):
    def test_memory_bounds_the_adapters(self):
        """Guards against orders that crash an endpoint for want of memory."""
        tight = engine(WeightsMb=71_900.0, Models=[model()])
        self.assertEqual(4, tight.adapter_room(('m',)))

    def test_slots_bound_the_adapters(self):
        """Guards against orders beyond the slots where memory is plenty."""
        wide = engine(WeightsMb=90_000.0, Models=[model()])
        self.assertEqual(6, wide.adapter_room(('m',)))

    def test_exact_fit_counts(self):
        """Guards against a slot that is lost to rounding."""
        exact = engine(
            WeightsMb=70_000.3, Models=[model(adapter_mb=0.1)], AdapterSlots=9
        )
        self.assertEqual(3, exact.adapter_room(('m',)))

    def test_each_held_model_takes_its_weights(self):
        """Guards against room counted as if an endpoint had one model."""
        models = [model('m', 30_000.0), model('n', 20_000.0, 2000.0)]
        both = engine(WeightsMb=57_000.0, Models=models)
        self.assertEqual(6, both.adapter_room(('m',)))
        self.assertEqual(3, both.adapter_room(('m', 'n')))

    def test_model_that_fills_the_memory_leaves_no_room(self):
        full = engine(WeightsMb=70_000.0, Models=[model()])
        self.assertEqual(0, full.adapter_room(('m',)))
        over = engine(WeightsMb=60_000.0, Models=[model()])
        self.assertEqual(0, over.adapter_room(('m',)))

    def test_sizes_that_are_not_stated_bound_nothing(self):
        """Guards against endpoints without adapters for want of a figure."""
        unstated = routes.Engine(1, 6, (routes.Model('m', 10),))
        self.assertEqual(6, unstated.adapter_room(('m',)))
        self.assertEqual(6, engine().adapter_room((builders.MODEL,)))
