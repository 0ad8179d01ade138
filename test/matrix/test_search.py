"""A short run of the search over orders of events, the same each time."""

import unittest

import hypothesis
from hypothesis import stateful

from tools.matrix import _search


class SearchTest(unittest.TestCase):
    def test_no_order_of_events_breaks_a_promise(self):
        settings = hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=40,
            stateful_step_count=25,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        stateful.run_state_machine_as_test(_search.Search, settings=settings)
