"""The gateway's own pages: health, readiness, status and metrics."""

import dataclasses
import typing
import urllib.parse

from aiohttp import web

import berylhollow
from berylhollow import configuration
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _answers
from berylhollow.gateway import _models
from berylhollow.gateway import _state
from berylhollow.gateway import _workspaces
from berylhollow import settings as all_settings
from berylhollow import shell

MODEL_PREFIX = f'{_models.PATH}/'
UNAVAILABLE = 503


class Owner(typing.Protocol):
    """What the pages tell of the shell."""

    settings: all_settings.GatewaySettings
    driver: shell.Driver
    stopping: bool
    in_flight: int


class Pages:
    """Answer for the gateway itself; the reducer's state is only read."""

    def __init__(self, owner: Owner, metrics_text: typing.Callable[[], bytes]):
        self.owner = owner
        self.metrics_text = metrics_text
        self.pages = {
            '/healthz': self.health,
            '/readyz': self.readiness,
            '/status': self.status,
            '/metrics': self.metrics,
        }
        self.models = _models.Models()

    async def get(self, path: str) -> web.Response | None:
        """Return the page at a path, None if there is none."""
        page = self.pages.get(path)
        if page is not None:
            return page()
        if path == _models.PATH:
            return await self.list_models()
        if path.startswith(MODEL_PREFIX):
            return self.model(path.removeprefix(MODEL_PREFIX))
        return None

    def health(self) -> web.Response:
        """The process answers, so it lives."""
        return _answers.json_response({'alive': True})

    def readiness(self) -> web.Response:
        """Ready to take callers: informed, and not shutting down."""
        state = self.owner.driver.state
        now_ms = self.owner.driver.time.now_ms()
        informed = state.informed and _workspaces.takes_keys(state, now_ms)
        if informed and not self.owner.stopping:
            return _answers.json_response({'ready': True})
        return _answers.json_response({'ready': False}, UNAVAILABLE)

    def status(self) -> web.Response:
        """What the command ``status`` shows."""
        state = self.owner.driver.state
        return _answers.json_response(
            {
                'instance': self.owner.settings.instance,
                'role': 'gateway',
                'version': berylhollow.__version__,
                'failure_domain': self.owner.settings.failure_domain,
                'revision': revision(state),
                'configuration': dataclasses.asdict(
                    state.follower.status(self.owner.driver.time.now_ms())
                ),
                'stopping': self.owner.stopping,
                'in_flight': self.owner.in_flight,
                'endpoints': [
                    _endpoint(name, endpoint)
                    for name, endpoint in sorted(state.endpoints.items())
                ],
            }
        )

    async def list_models(self) -> web.Response:
        """The adapter versions that a caller can name."""
        return _answers.json_body(
            await self.models.list(self._configuration())
        )

    def model(self, quoted: str) -> web.Response:
        """One adapter version."""
        name = urllib.parse.unquote(quoted)
        body = self.models.one(self._configuration(), name)
        return _answers.json_body(body)

    def _configuration(self) -> configuration.Configuration | None:
        return self.owner.driver.state.follower.current

    def metrics(self) -> web.Response:
        """The metrics as Prometheus reads them."""
        return _answers.text_response(self.metrics_text())


def revision(state: _state.State) -> int:
    """Return the revision of the configuration in force, 0 if none is."""
    current = state.follower.current
    return 0 if current is None else current.revision


def service_at(state: _state.State, peer: str) -> str:
    """Return the service of an endpoint, empty if it is not known."""
    endpoint = state.endpoints.get(peer)
    return endpoint.instance.service if endpoint else ''


def declared_service(state: _state.State, request: events.Request) -> str:
    """Return the service of a request, empty if none is declared for it.

    Guards against callers that make names up: each would become a label of
    the metrics, and their series would fill the memory of the gateway.
    """
    current = state.follower.current
    if current is None:
        return ''
    terms = current.resolve(request, seed=0.0)
    return '' if isinstance(terms, errors.Kind) else terms.service


def _endpoint(name: str, endpoint: _state.Endpoint) -> dict[str, object]:
    report = endpoint.report
    return {
        'instance': name,
        'revision': 0 if report is None else report.revision,
        'service': endpoint.instance.service,
        'failure_domain': endpoint.instance.failure_domain,
        'link': endpoint.link.value,
        'leaving': endpoint.leaving,
        'in_flight': len(endpoint.placed),
    }
