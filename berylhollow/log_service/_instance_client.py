"""Client of the platform's instance list."""

import dataclasses
import urllib.parse

import aiohttp

from berylhollow.log_service import _types
from berylhollow import outgoing


OK = 200
NOT_MODIFIED = 304


class InstanceClient:
    """Reads and changes the instance list at ``url``.

    ``latest`` is the list as it was last read, ``entity_tag`` the platform's
    entity tag of that version, '' if it sends none.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession | None = None):
        self.url = url.rstrip('/') + '/instances'
        self.session = session or outgoing.open_session()
        self.latest: tuple[_types.Instance, ...] = ()
        self.entity_tag = ''

    async def list(self) -> tuple[_types.Instance, ...]:
        """Return the instances that the list shows; it may be out of date.

        The platform sends the list only if it has changed since the last read.
        Raises the subclasses of ``outgoing.CallError``.
        """
        request_headers = (
            {'If-None-Match': self.entity_tag} if self.entity_tag else {}
        )
        response = await outgoing.open_call(
            self.session,
            'GET',
            self.url,
            outgoing.CALL_TIMEOUT_MS,
            headers=request_headers,
        )
        async with response:
            body = await outgoing.read_body(response)
        if response.status == NOT_MODIFIED and request_headers:
            return self.latest
        reply = outgoing.Reply(response.status, body)
        if reply.status != OK:
            raise outgoing.error_from_reply(reply)
        self.latest = _parse_list(reply)
        self.entity_tag = response.headers.get('ETag', '')
        return self.latest

    async def put(self, instance: _types.Instance) -> None:
        """Register an instance or replace its entry."""
        await outgoing.call(
            self.session,
            'PUT',
            self.instance_url(instance.instance),
            json=instance_value(instance),
        )

    async def delete(self, instance: str) -> None:
        """Remove an instance from the list."""
        await outgoing.call(
            self.session, 'DELETE', self.instance_url(instance)
        )

    def instance_url(self, instance: str) -> str:
        return f'{self.url}/{urllib.parse.quote(instance, safe="")}'

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()


def _parse_list(reply: outgoing.Reply) -> tuple[_types.Instance, ...]:
    try:
        return tuple(
            parse_instance(item) for item in reply.value()['instances']
        )
    except outgoing.SHAPE_ERRORS as error:
        raise outgoing.CallOutcomeUnknown(
            'the response is not an instance list'
        ) from error


def instance_value(instance: _types.Instance) -> dict:
    """Return the JSON object of an instance."""
    return dataclasses.asdict(instance)


def parse_instance(value: dict) -> _types.Instance:
    """Return the instance that a JSON object describes.

    Raises ``ValueError`` or ``KeyError`` for an invalid or missing field.
    """
    return _types.Instance(
        instance=str(value['instance']),
        role=_types.Role(value['role']),
        service=str(value.get('service', '')),
        failure_domain=str(value['failure_domain']),
        region=str(value.get('region', '')),
        address=str(value['address']),
        state=_types.State(value.get('state', _types.State.LIVE)),
    )
