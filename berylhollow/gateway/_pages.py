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

MODEL_PATH_PREFIX = f'{_models.PATH}/'
SERVICE_UNAVAILABLE = 503


class Owner(typing.Protocol):
    """The attributes of the shell that the pages show."""

    settings: all_settings.GatewaySettings
    driver: shell.Driver
    stopping: bool
    in_flight: int


class Pages:
    """Renders the gateway's own pages, from a read-only view of its state."""

    def __init__(self, owner: Owner, metrics_text: typing.Callable[[], bytes]):
        self.owner = owner
        self.metrics_text = metrics_text
        self.handlers = {
            '/healthz': self.health,
            '/readyz': self.readiness,
            '/status': self.status,
            '/metrics': self.metrics,
        }
        self.models = _models.ModelList()

    async def get(self, path: str) -> web.Response | None:
        """Return the page at a path, None if there is none."""
        handler = self.handlers.get(path)
        if handler is not None:
            return handler()
        if path == _models.PATH:
            return await self.list_models()
        if path.startswith(MODEL_PATH_PREFIX):
            return self.get_model(path.removeprefix(MODEL_PATH_PREFIX))
        return None

    def health(self) -> web.Response:
        """Liveness: the process is able to answer."""
        return _answers.json_response({'alive': True})

    def readiness(self) -> web.Response:
        """Readiness: required data was read and no stop was requested."""
        state = self.owner.driver.state
        now_ms = self.owner.driver.time.now_ms()
        informed = (
            state.has_required_data
            and _workspaces.should_accept_callers(state, now_ms)
        )
        if informed and not self.owner.stopping:
            return _answers.json_response({'ready': True})
        return _answers.json_response({'ready': False}, SERVICE_UNAVAILABLE)

    def status(self) -> web.Response:
        """The data for the command ``status``."""
        state = self.owner.driver.state
        return _answers.json_response(
            {
                'instance': self.owner.settings.instance,
                'role': 'gateway',
                'version': berylhollow.__version__,
                'failure_domain': self.owner.settings.failure_domain,
                'revision': state.revision,
                'configuration': dataclasses.asdict(
                    state.follower.status(self.owner.driver.time.now_ms())
                ),
                'stopping': self.owner.stopping,
                'in_flight': self.owner.in_flight,
                'endpoints': [
                    _endpoint_status(name, endpoint)
                    for name, endpoint in sorted(state.endpoints.items())
                ],
            }
        )

    async def list_models(self) -> web.Response:
        """The list of all servable adapter versions."""
        return _answers.raw_json_response(
            await self.models.list(self._configuration())
        )

    def get_model(self, quoted_name: str) -> web.Response:
        """One servable adapter version."""
        name = urllib.parse.unquote(quoted_name)
        body = self.models.get_version(self._configuration(), name)
        return _answers.raw_json_response(body)

    def _configuration(self) -> configuration.Configuration | None:
        return self.owner.driver.state.follower.current

    def metrics(self) -> web.Response:
        """The metrics in the Prometheus text format."""
        return _answers.prometheus_response(self.metrics_text())


def endpoint_service(state: _state.State, peer: str) -> str:
    """Return the service of an endpoint, empty if it is unknown."""
    endpoint = state.endpoints.get(peer)
    return endpoint.instance.service if endpoint else ''


def declared_service(state: _state.State, request: events.Request) -> str:
    """Return the service of a request, empty if it is not declared.

    Names made up by callers must not become labels of metrics: their series
    would fill the gateway's memory.
    """
    current = state.follower.current
    if current is None:
        return ''
    terms = current.resolve(request, seed=0.0)
    return '' if isinstance(terms, errors.Kind) else terms.service


def _endpoint_status(
    name: str, endpoint: _state.Endpoint
) -> dict[str, object]:
    report = endpoint.report
    return {
        'instance': name,
        'revision': 0 if report is None else report.revision,
        'service': endpoint.instance.service,
        'failure_domain': endpoint.instance.failure_domain,
        'link': endpoint.link.value,
        'leaving': endpoint.leaving,
        'in_flight': len(endpoint.attempts_in_flight),
    }
