"""The programs while the store comes back from an older copy.

A revocation, the leaving of an endpoint and a new version of an adapter were
confirmed in the seconds that the store has lost.
"""

from berylhollow import platform
from berylhollow.standin import direct_endpoint
from test.hosted import hosted_helper
from test import platform_builders as builders

KEY = 'asnmgkcuyj8pjbvk9m68'
REVOKED = 'k7b2ex5wa5xwyhks8nbk'
REQUESTS = 25


class OlderCopyTest(hosted_helper.HostedTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.left = direct_endpoint.DirectEndpoint('i-left')
        self.left_port = await self.serve(self.left)
        await self.declare(8, KEY, REVOKED)
        await self.register_all()
        await self.register(self.left, self.left_port, builders.PLAIN_SERVICE)
        self.sidecar = await self.begin('sidecar')
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()
        await self.wait_until(lambda: self.answers('/puxa403/x', REVOKED, 200))
        await self.wait_until(lambda: self.answers_model(200))
        await self.lose_what_follows()

    async def declare(self, version, *keys):
        entry = builders.workspace('hule930', *keys)
        await self.publish(version, workspaces=[entry])

    async def answers(self, path, key, status, **headers):
        async with self.open_request(path, Api_Key=key, **headers) as got:
            await got.read()
            return got.status == status

    async def answers_model(self, status):
        return await self.answers(
            '/lohu930/x', KEY, status, Model='daka510000/a3'
        )

    async def lose_what_follows(self):
        older = self.store.copy()
        await self.declare(9, KEY)
        await self.store.put(platform.INSTANCE_STREAM, 'i-left', b'')
        self.model.newest['a3'] = 5
        data = builders.version_record('a3', 5)
        key_size = data[0]
        await self.store.put(
            platform.CONFIGURATION_STREAM,
            data[1 : 1 + key_size].decode(),
            data[1 + key_size :],
        )
        await self.wait_until(lambda: self.answers('/puxa403/x', REVOKED, 401))
        await self.wait_until(self.has_left)
        await self.wait_until(self.runs_new_version)
        self.counted = len(self.left.ran)
        await self.store.come_back(older)
        await self.wait_until(self.noticed)

    async def has_left(self):
        told = self.gateway.logged('endpoint gone from the list')
        return any(line['endpoint'] == 'i-left' for line in told)

    async def runs_new_version(self):
        await self.answers_model(200)
        return self.model.ran[-1].headers.get('Expect-Version') == '5'

    async def noticed(self):
        lines = self.gateway.lines
        told = {line['message'] for line in lines}
        return {
            'log came back from an older copy',
            'list came back from an older copy',
        } <= told

    async def test_nothing_that_was_confirmed_is_undone(self):
        model_ran = len(self.model.ran)
        for _ in range(REQUESTS):
            self.assertTrue(await self.answers('/puxa403/x', REVOKED, 401))
            self.assertTrue(await self.answers('/puxa403/x', KEY, 200))
            await self.answers_model(200)
        self.assertEqual(self.counted, len(self.left.ran))
        versions = {
            ran.headers['Expect-Version'] for ran in self.model.ran[model_ran:]
        }
        self.assertEqual({'5'}, versions)

    async def test_news_after_it_is_followed(self):
        await self.declare(10, REVOKED)
        await self.wait_until(lambda: self.answers('/puxa403/x', KEY, 401))
        self.assertTrue(await self.answers('/puxa403/x', REVOKED, 200))

    async def test_gateway_that_starts_into_it_learns_from_its_neighbours(
        self,
    ):
        """It reads a configuration in which the key has not been revoked."""
        self.assertTrue(await self.answers_model(200))
        await self.gateway.end()
        self.gateway = await self.begin('gateway')

        async def listening():
            return self.gateway.logged('configuration in force')

        await self.wait_until(listening)
        for _ in range(REQUESTS):
            self.assertFalse(await self.answers('/puxa403/x', REVOKED, 200))
        await self.declare(9, KEY)
        await self.wait_until(lambda: self.answers('/puxa403/x', KEY, 200))
        self.assertTrue(await self.answers('/puxa403/x', REVOKED, 401))
