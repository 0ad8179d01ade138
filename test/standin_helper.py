"""Settings and a test case for serving stand-ins on free ports."""

import contextlib
import unittest

from berylhollow import messages
from berylhollow import settings
from berylhollow.standin import _http
from berylhollow.standin import engine_server
from berylhollow.standin import platform_server
from berylhollow.standin import service_server


COMMON = {
    'failure_domain': 'domain-a',
    'link_key': 'not-a-secret-tests-only',
}


def platform_settings(**sections) -> settings.PlatformSettings:
    """Return settings of a platform that is fast by default."""
    values = {
        'instance': 'platform',
        'log': {'appends_per_s': 1000},
        'instances': {'lag_ms': 0},
        'weights': {'loads_per_s': 100, 'load_ms': 1},
    }
    return settings.parse(
        {**COMMON, **values, **sections}, settings.Role.PLATFORM
    )


def engine_settings(platform_url, **options) -> settings.EngineSettings:
    """Return settings of an engine with two slots and short steps."""
    values = {
        'instance': 'engine-1',
        'platform': {'url': platform_url},
        'slots': 2,
        'token_ms': 1,
        'prefill_ms_per_1000_tokens': 1,
        'status_lag_ms': 0,
        'checks_fencing': True,
    }
    return settings.parse(
        {**COMMON, **values, **options}, settings.Role.ENGINE
    )


def service_settings(**options) -> settings.ServiceSettings:
    """Return settings of a plain service that takes no time per call."""
    values = {'instance': 'service-1', 'work_ms': 0}
    return settings.parse(
        {**COMMON, **values, **options}, settings.Role.SERVICE
    )


def adapter(name: str) -> messages.AdapterVersion:
    """Parse an ``adapter@version`` string."""
    left, _, right = name.rpartition('@')
    return messages.AdapterVersion(left, right)


class StandInTestCase(unittest.IsolatedAsyncioTestCase):
    """Closes a test's servers and clients, in reverse order."""

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def listen(self, application) -> str:
        port = await self.stack.enter_async_context(
            _http.listening(application, '127.0.0.1', 0)
        )
        return f'http://127.0.0.1:{port}'

    async def serve_platform(self, **sections) -> str:
        return await self.listen(
            platform_server.make_application(platform_settings(**sections))
        )

    async def serve_engine(self, platform_url: str, **options) -> str:
        return await self.listen(
            engine_server.make_application(
                engine_settings(platform_url, **options)
            )
        )

    async def serve_service(self, **options) -> str:
        return await self.listen(
            service_server.make_application(service_settings(**options))
        )

    def closing(self, client):
        """Close a client at the end of the test."""
        self.stack.push_async_callback(client.close)
        return client
