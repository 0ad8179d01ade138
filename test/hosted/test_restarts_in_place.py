"""Endpoints whose next start answers under their name and address at once.

A supervisor starts it within milliseconds of the crash; the instance list
shows it later.
"""

from berylhollow import errors
from berylhollow import messages
from test.hosted import test_gateway_direct
from test.hosted import test_probes

FINGERPRINT = test_probes.FINGERPRINT
SIDECARS = test_probes.SIDECARS


def start(number, started_ms=1):
    """Return the entry of a start of an endpoint."""
    incarnation = messages.Incarnation(f'i-{number}', started_ms)
    return test_gateway_direct.plain(
        str(incarnation), f'10.0.0.{number}:80', incarnation=incarnation
    )


class GatewayTest(test_gateway_direct.DirectTestCase):
    """A gateway that has not read of the next start yet."""

    def options(self):
        return {'retry_reserve': 0.0}

    def setUp(self):
        super().setUp()
        self.beside = [
            test_gateway_direct.direct_instance(f'm-{n}', f'10.0.1.{n}:80')
            for n in (1, 2, 3)
        ]
        self.list_instances(start(1), start(2), *self.beside)

    def send(self, fingerprint, at_ms):
        return self.send_request(fingerprint=fingerprint, at_ms=at_ms)

    def lose_run(self, fingerprint, at_ms):
        self.send(fingerprint, at_ms)
        peer, _ = self.offered()
        kind = errors.Kind.ENGINE_RESTARTED
        self.fail_attempt(kind, errors.Ran.UNKNOWN, at_ms + 5)
        return peer

    def test_probe_is_not_sent_to_the_next_start(self):
        """Guards against a culprit that ends one start after the other."""
        self.lose_run(FINGERPRINT, 0)
        self.lose_run(FINGERPRINT, 10)
        self.send(FINGERPRINT, 30)
        self.assertEqual([], self.offers())
        self.assertIs(errors.Kind.SUSPECT, self.answer().kind)
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)
