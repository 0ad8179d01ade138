"""Serve stand-ins on free ports inside a test."""

import contextlib
import dataclasses
import unittest

from berylhollow import messages
from berylhollow.standin import _http
from berylhollow.standin import engine_server
from berylhollow.standin import platform_server
from berylhollow.standin import service_server


@dataclasses.dataclass(frozen=True)
class LogOptions:
    appends_per_s: float = 1000.0
    retention_ms: int = 3_600_000


@dataclasses.dataclass(frozen=True)
class InstanceOptions:
    lag_ms: int = 0


@dataclasses.dataclass(frozen=True)
class WeightOptions:
    loads_per_s: float = 100.0
    load_ms: int = 1


@dataclasses.dataclass(frozen=True)
class PlatformOptions:
    log: LogOptions = LogOptions()
    instances: InstanceOptions = InstanceOptions()
    weights: WeightOptions = WeightOptions()


@dataclasses.dataclass(frozen=True)
class PlatformLink:
    url: str


@dataclasses.dataclass(frozen=True)
class EngineOptions:
    platform: PlatformLink
    instance: str = 'engine-1'
    slots: int = 2
    batch_limit: int = 8
    token_ms: int = 1
    prefill_ms_per_1000_tokens: int = 1
    status_lag_ms: int = 0
    checks_fencing: bool = True


@dataclasses.dataclass(frozen=True)
class ServiceOptions:
    instance: str = 'service-1'
    work_ms: int = 0


def adapter(name: str) -> messages.AdapterVersion:
    """Return the adapter version written ``adapter@version``."""
    left, _, right = name.rpartition('@')
    return messages.AdapterVersion(left, right)


class StandInTestCase(unittest.IsolatedAsyncioTestCase):
    """Stops what a test served and opened, last first."""

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def listen(self, application) -> str:
        port = await self.stack.enter_async_context(
            _http.listening(application, '127.0.0.1', 0)
        )
        return f'http://127.0.0.1:{port}'

    async def serve_platform(self, options=None) -> str:
        return await self.listen(
            platform_server.make_application(options or PlatformOptions())
        )

    async def serve_engine(self, platform_url: str, **options) -> str:
        link = PlatformLink(platform_url)
        return await self.listen(
            engine_server.make_application(EngineOptions(link, **options))
        )

    async def serve_service(self, **options) -> str:
        return await self.listen(
            service_server.make_application(ServiceOptions(**options))
        )

    def closing(self, client):
        """Close a client at the end of the test."""
        self.stack.push_async_callback(client.close)
        return client
