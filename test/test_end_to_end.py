"""Tests of a caller's request through the real shells and the stand-ins."""

import asyncio
import json

import aiohttp

from berylhollow import gateway
from berylhollow.gateway import _shell as gateway_shell
from berylhollow import platform
from berylhollow import settings
from berylhollow import sidecar
from berylhollow.sidecar import _shell as sidecar_shell
from test import builders
from test import gateway_helper
from test import standin_helper

KEYED = {'Idempotency-Key': 'order-7'}
PORTING = f'/v1/services/{builders.PLAIN_SERVICE}/ports/7'


class EndToEndTest(standin_helper.StandInTestCase):
    """Two gateways, an engine and a plain service, each on free ports."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform_url = await self.serve_platform()
        self.instances = self.closing(
            platform.InstanceClient(self.platform_url)
        )
        self.engine_url = await self.serve_engine(self.platform_url)
        self.service_url = await self.serve_service()
        await self.add_sidecar('e1', builders.SERVICE, self.engine_url)
        await self.add_sidecar(
            'p1', builders.PLAIN_SERVICE, self.service_url, kind='plain'
        )
        self.gateways = [await self.add_gateway(name) for name in 'ab']

    async def add_sidecar(self, name, service, url, **endpoint):
        declared = settings.parse(
            {
                'instance': name,
                'failure_domain': 'sul-a',
                'link_key': gateway_helper.KEY,
                'platform': {'url': self.platform_url},
                'service': service,
                'endpoint': {'url': url} | endpoint,
                'listen': {'port': 0},
                'tick_ms': 5,
            },
            settings.Role.SIDECAR,
        )
        shell = sidecar_shell.Shell(
            declared,
            sidecar.reduce,
            builders.sidecar_state(
                name,
                service=service,
                plain=bool(endpoint),
                status_poll_ms=10,
                report_ms=10,
            ),
            lambda *_: None,
        )
        await shell.start()
        self.closing(shell)
        await self.instances.put(
            platform.Instance(
                name,
                platform.Role.ENDPOINT,
                service,
                'sul-a',
                'sul',
                f'127.0.0.1:{shell.links.server.port}',
            )
        )

    async def add_gateway(self, name):
        shell = gateway_shell.Shell(
            gateway_helper.gateway_settings(
                instance=name, platform={'url': self.platform_url}
            ),
            gateway.reduce,
            builders.gateway_state(name, instance_poll_ms=20),
            lambda *_: None,
            lambda: b'',
        )
        await shell.start()
        self.closing(shell)
        session = aiohttp.ClientSession(
            f'http://127.0.0.1:{shell.front_end.port}'
        )
        self.closing(session)
        await gateway_helper.until(lambda: len(shell.links.open_links) == 2)
        return session

    async def test_stream_comes_from_the_adapter_that_was_named(self):
        body = {
            'model': 'a1@2',
            'stream': True,
            'max_tokens': 5,
            'messages': [{'role': 'user', 'content': 'hello'}],
        }
        path = '/v1/chat/completions'
        async with self.gateways[0].post(path, json=body) as answer:
            self.assertEqual(200, answer.status)
            text = await answer.text()
        events = [line for line in text.split('\n\n') if line]
        self.assertEqual('data: [DONE]', events[-1])
        models = {
            json.loads(line.removeprefix('data: '))['model']
            for line in events[:-1]
        }
        self.assertEqual({'a1@2'}, models)

    async def test_key_sent_to_two_gateways_runs_once(self):
        """A customer's number is ported twice.

        An installer's console sends a porting order, loses patience and
        sends it again, which reaches another gateway. Cause: keys that only
        the gateway which saw them knows.
        """
        answers = await asyncio.gather(
            *[self.port(session) for session in self.gateways]
        )
        answers.append(await self.port(self.gateways[1]))
        statuses = [status for status, _ in answers]
        self.assertIn(200, statuses)
        # The one that came second may have been told that it is running.
        self.assertLessEqual(set(statuses), {200, 409})
        whole = {body for status, body in answers if status == 200}
        self.assertEqual(1, len(whole))
        async with self.gateways[0].get(
            f'{self.service_url}/stand-in/runs'
        ) as answer:
            runs = (await answer.json())['runs']
        self.assertEqual(1, len(runs))

    async def port(self, session):
        async with session.post(PORTING, data=b'{}', headers=KEYED) as answer:
            return answer.status, await answer.read()
