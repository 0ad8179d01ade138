"""Tests of a change of the configuration while a request waits."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from test import builders
from test import helper
from test import test_sidecar


class ChangeTest(test_sidecar.SidecarTestCase):
    def load_after(self, offered_revision, revision, servable):
        """Change the configuration while an adapter is loaded."""
        self.offer(revision=offered_revision)
        (order,) = self.of_type(effects.LoadAdapter)
        self.state.follower.current = builders.FixedView(
            revision, servable=servable
        )
        self.feed(events.LoadSucceeded(1, order.order_id, 'epoch-1'))

    def test_version_withdrawn_while_its_request_waits_is_not_run(self):
        """Guards against a run long after a version was withdrawn."""
        self.load_after(1, revision=2, servable=('2',))
        self.assertEqual([], self.of_type(effects.StartRun))
        failed = self.failure()
        self.assertIs(errors.Kind.UNKNOWN_VERSION, failed.kind)
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)

    def test_version_that_is_still_servable_is_run(self):
        self.load_after(1, revision=2, servable=('1',))
        self.assertEqual(1, len(self.of_type(effects.StartRun)))

    def test_gateway_may_know_a_newer_configuration(self):
        """Guards against the refusal of an adapter that was just added."""
        self.load_after(2, revision=1, servable=())
        self.assertEqual(1, len(self.of_type(effects.StartRun)))

    def test_request_of_a_gateway_that_names_no_revision_is_run(self):
        """Guards against refusals between two software versions."""
        self.load_after(0, revision=2, servable=())
        self.assertEqual(1, len(self.of_type(effects.StartRun)))


class GatewayChangeTest(helper.ReducerTestCase):
    """A request waits at a gateway that has just started."""

    def setUp(self):
        self.begin(gateway.reduce, builders.gateway_state())
        self.feed(events.RequestArrived(0, builders.request(), 0.5))

    def open_endpoint(self):
        self.feed(events.InstancesListed(100, (builders.instance('e1'),)))
        self.open_link('e1', events.Role.ENDPOINT, 100)
        self.feed(events.Ticked(200, 0.5))

    def test_version_withdrawn_while_its_request_waits_is_not_offered(self):
        """Guards against an offer with a revision that forbids it."""
        self.state.follower.current = builders.FixedView(2, servable=('2',))
        self.open_endpoint()
        self.assertEqual([], self.sent(messages.Offer))
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Kind.UNKNOWN_VERSION, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)

    def test_version_that_is_still_servable_is_offered(self):
        self.state.follower.current = builders.FixedView(2)
        self.open_endpoint()
        self.assertEqual(1, len(self.sent(messages.Offer)))
