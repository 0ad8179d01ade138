"""Tests that invalid input gets a typed error and affects nothing else."""

import json

from berylhollow import configuration
from berylhollow import manifest
from berylhollow import messages
from test import builders
from test import configuration_builders
from test import gateway_helper

SERVICE_PATH = f'/v1/services/{builders.PLAIN_SERVICE}'


class BadInputTest(gateway_helper.GatewayTestCase):
    async def asyncSetUp(self):
        await self.begin(body_limit_bytes=1000, slow_client_timeout_ms=100)
        await self.add_sidecar()

    async def assert_refused(self, answer, status, kind):
        """Check the error, and that a valid request is served afterwards."""
        await self.assert_problem(answer, status, kind)
        good = self.post(X_Caller='good')
        offer = await self.sidecar.next(messages.Offer)
        self.assertEqual('good', offer.caller)
        self.sidecar.start(offer.attempt_id)
        self.sidecar.answer(offer.attempt_id, b'served')
        self.sidecar.end(offer.attempt_id, 1)
        self.assertEqual(b'served', (await good)[2])

    async def test_bodies(self):
        """Every body that is not a valid model request is refused."""
        cases = (
            (bytes(1001), 413, 'body_too_large'),
            (b'', 400, 'malformed_json'),
            (b'{"model": ', 400, 'malformed_json'),
            (b'\xff\xfe', 400, 'malformed_json'),
            (b'[' * 999, 400, 'malformed_json'),
            (b'[]', 400, 'bad_request'),
            (b'{}', 400, 'bad_request'),
            (b'{"model": 1}', 400, 'bad_request'),
            (b'{"model": "a1@"}', 400, 'bad_request'),
            (b'{"model": "@1"}', 400, 'bad_request'),
            (b'{"model": "a 1@1"}', 400, 'bad_request'),
            (b'{"model": "a1@1", "max_tokens": -1}', 400, 'bad_request'),
            (b'{"model": "a1@1", "max_tokens": true}', 400, 'bad_request'),
            (b'{"model": "a1@9"}', 404, 'unknown_version'),
        )
        for body, status, kind in cases:
            with self.subTest(body=body[:40]):
                await self.assert_refused(self.post(body), status, kind)

    async def test_duplicate_model_member(self):
        """Guards against a request that runs on another workspace's adapter.

        The body names two models: the gateway would check the last one and
        the engine run the first. JSON parsers silently drop a duplicate
        member, also where one of them is written with escapes.
        """
        for second in ('model', 'mod\\u0065l'):
            body = f'{{"model": "a1@1", "{second}": "a2@1"}}'.encode()
            await self.assert_refused(self.post(body), 400, 'bad_request')

    async def test_headers(self):
        cases = (
            ({'X_Caller': 'a b'}, 400, 'bad_header'),
            ({'X_Caller': 'a' * 129}, 400, 'bad_header'),
            ({'X_Caller': ''}, 400, 'bad_header'),
            ({'X_Priority': '10'}, 400, 'bad_header'),
            ({'X_Priority': '-1'}, 400, 'bad_header'),
            ({'X_Deadline_Ms': '0'}, 400, 'bad_header'),
            ({'X_Deadline_Ms': '1e3'}, 400, 'bad_header'),
            ({'X_Deadline_Ms': '999999999'}, 400, 'bad_header'),
            ({'Idempotency_Key': ''}, 400, 'bad_header'),
            ({'Idempotency_Key': 'k' * 256}, 400, 'bad_header'),
            ({'X_Request_Id': 'a b'}, 400, 'bad_header'),
            ({'X_Service': '../x'}, 400, 'bad_header'),
            ({'Expect': 'miracles'}, 400, 'bad_header'),
            ({'Content_Type': 'text/plain'}, 415, 'unsupported_media_type'),
            ({'Content_Encoding': 'gzip'}, 415, 'unsupported_media_type'),
        )
        for headers, status, kind in cases:
            with self.subTest(headers=headers):
                answer = self.post(**headers)
                await self.assert_refused(answer, status, kind)

    async def test_paths_and_methods(self):
        cases = (
            ('GET', '/v1/completions', 405, 'method_not_allowed'),
            ('POST', '/healthz', 405, 'method_not_allowed'),
            ('TRACE', SERVICE_PATH + '/x', 405, 'method_not_allowed'),
            ('GET', '/v1/other', 404, 'not_found'),
            ('GET', '/v1/services/a%20b/x', 400, 'bad_request'),
            ('GET', '/v1/services/unknown/x', 404, 'unknown_service'),
        )
        for method, path, status, kind in cases:
            with self.subTest(method=method, path=path):
                answer = self.request(method, path)
                await self.assert_refused(answer, status, kind)

    async def request(self, method, path):
        async with self.session.request(method, path) as response:
            return response.status, response.headers, await response.read()

    async def test_allowed_methods_are_listed(self):
        _, headers, _ = await self.request('GET', '/v1/completions')
        self.assertEqual('POST', headers['Allow'])

    async def test_absolute_request_target_is_accepted(self):
        reader, _ = await self.send_raw(
            b'GET http://g:80/healthz HTTP/1.1\r\nHost: g\r\n\r\n'
        )
        self.assertIn(b' 200 ', await reader.readline())

    async def test_malformed_requests_on_a_raw_connection(self):
        request = builders.http_post
        cases = (
            (b'no HTTP at all\r\n\r\n', 'bad_request'),
            (
                request('{}', '/v1/completions', 'X-A: ' + 'a' * 9000),
                'bad_header',
            ),
            (
                request('{}', '/v1/completions', 'X-Caller: a', 'X-Caller: b'),
                'bad_header',
            ),
            (
                request('{}').replace(b'Host: ', b'X-A: \xff\xfe\r\nHost: '),
                'bad_header',
            ),
            (request('{}').replace(b'/1.1', b'/1.0'), 'bad_request'),
            (request('', SERVICE_PATH + '/a/%2E%2e/b'), 'bad_request'),
            (request('', SERVICE_PATH + '/a/..%2Fb'), 'bad_request'),
            (
                request('{}').replace(b'Length: 2', b'Length: 90'),
                'caller_too_slow',
            ),
            (
                request('zz\r\n').replace(
                    b'Content-Length: 4', b'Transfer-Encoding: chunked'
                ),
                'bad_request',
            ),
        )
        for data, kind in cases:
            with self.subTest(data=data[:60]):
                reader, _ = await self.send_raw(data)
                head = await reader.readuntil(b'\r\n\r\n')
                problem = json.loads(await reader.readuntil(b'}'))
                self.assertEqual(kind, problem['kind'], head)
                self.assertEqual('not_run', problem['ran'])

    async def test_expect_100_continue_gets_an_interim_response(self):
        head, _, body = builders.http_post(
            '{"model": "a1@1"}', '/v1/completions', 'Expect: 100-continue'
        ).partition(b'\r\n\r\n')
        reader, writer = await self.send_raw(head + b'\r\n\r\n')
        interim = await reader.readuntil(b'\r\n\r\n')
        self.assertTrue(interim.startswith(b'HTTP/1.1 100 '))
        writer.write(body)
        offer = await self.sidecar.next(messages.Offer)
        self.assertEqual(body, offer.body)

    async def test_health_metrics_and_status_pages(self):
        for path in ('/healthz', '/readyz', '/metrics', '/status'):
            async with self.session.get(path) as response:
                self.assertEqual(200, response.status, path)
                body = await response.read()
        status = json.loads(body)
        self.assertEqual('g1', status['instance'])
        self.assertEqual(1, status['revision'])
        (endpoint,) = status['endpoints']
        self.assertEqual(
            ('e1', 'open'), (endpoint['instance'], endpoint['link'])
        )

    async def test_models_lists_servable_versions(self):
        follower = self.shell.driver.state.follower
        declared = manifest.Manifest(
            adapters=(
                configuration_builders.adapter('a2'),
                manifest.Adapter(
                    'a1',
                    builders.SERVICE,
                    versions=(
                        manifest.Version('1'),
                        manifest.Version('2'),
                        manifest.Version('3', servable=False),
                    ),
                ),
            )
        )
        follower.current = configuration.from_manifest(declared, revision=2)
        answer = await self.request('GET', '/v1/models')
        listed = json.loads(answer[2])['data']
        names = [model['id'] for model in listed]
        self.assertEqual(['a1@1', 'a1@2', 'a2@1'], names)
        answer = await self.request('GET', '/v1/models/a1%402')
        self.assertEqual(listed[1], json.loads(answer[2]))
        missing = self.request('GET', '/v1/models/a1@3')
        await self.assert_problem(missing, 404, 'not_found')
        follower.current = None
        unknown = self.request('GET', '/v1/models')
        await self.assert_problem(unknown, 503, 'configuration_unavailable')
