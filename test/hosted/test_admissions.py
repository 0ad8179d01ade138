"""Tests of a gateway that asks sidecars for the admission of prompts."""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

ADDRESSES = {'i-1': '10.0.0.1:80', 'i-2': '10.0.0.2:80'}
TOKENS = 2000


class AdmissionTestCase(direct.DirectTestCase):
    """Two endpoints of a paced service, of which the first has the adapter."""

    tokens_per_event = 4

    def configure(self):
        engine = {'Stride': self.tokens_per_event}
        self.publish(builders.configuration_record(engine=engine))
        self.list_instances(
            *[
                direct.direct_instance(name, address)
                for name, address in ADDRESSES.items()
            ]
        )
        for address in ADDRESSES.values():
            peer = addresses.sidecar_peer(address)
            self.open_link(peer, events.Role.ENDPOINT)
        self.hold('i-1')

    def hold(self, *names, at_ms=0):
        adapter = messages.AdapterVersion(builders.adapter_name(), '1')
        for name, address in ADDRESSES.items():
            held = (adapter,) if name in names else ()
            self.report(address, *held, at_ms=at_ms)

    def send(self, at_ms=10, **changes):
        self.send_request(
            direct.MODEL_PATH,
            at_ms,
            adapter='a3',
            **{'prompt_tokens': TOKENS} | changes,
        )

    def asked(self):
        return [
            (effect.peer, effect.message)
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.AdmissionWanted)
        ]

    def grant(self, at_ms=20, number=1, name='i-1'):
        peer = addresses.sidecar_peer(ADDRESSES[name])
        granted = messages.AdmissionGranted(f'r{number}')
        return self.receive(granted, at_ms, peer)


class GrantTest(AdmissionTestCase):
    def test_granted_request_is_sent_in_the_same_event(self):
        self.send()
        self.assertEqual([], self.offers())
        ((peer, wanted),) = self.asked()
        self.assertEqual(addresses.sidecar_peer(ADDRESSES['i-1']), peer)
        self.assertEqual(
            messages.AdmissionWanted('r1', TOKENS, 1, '', 1000, 400, 4), wanted
        )
        self.grant()
        self.assertEqual('i-1', self.offered()[0])
