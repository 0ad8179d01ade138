"""Health checks of endpoints, as they are sent and answered."""

import dataclasses
import typing

from berylhollow import clock
from berylhollow import outgoing

CHECK_TIMEOUT_MS = 4000
CHECK_DEADLINE_MS = 400
"""Deadline that a check tells the endpoint, which may queue it. An endpoint
that refuses it has answered, too."""

MAX_CHECK_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The endpoint that a health check is for, and the path it is sent to.

    ``instance`` is its name in the platform's list, empty if it has none.
    """

    url: str
    instance: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    """The answer to a health check.

    ``connection`` is the one that it came over, ``keep_open_ms`` is how long
    the endpoint keeps it open without a request, None if it doesn't say.
    """

    connection: outgoing.Connection
    keep_open_ms: int | None = None


class Sender(typing.Protocol):
    """Sends a health check, in the endpoint's protocol."""

    async def __call__(self, session, target: Target) -> Checked:
        """Return the endpoint's answer, whatever its status.

        Raises ``outgoing.CallError`` if it doesn't answer, or if another
        endpoint does.
        """


async def send_check(
    session, target: Target, headers: typing.Mapping[str, str]
) -> tuple[outgoing.Response, Checked]:
    """Send a health check over HTTP; return the response that was read.

    Raises ``outgoing.CallError`` if there is none.
    """
    response = await outgoing.open_call(
        session,
        'GET',
        target.url + target.path,
        CHECK_TIMEOUT_MS,
        headers=headers,
    )
    connection = response.protocol
    keep_open_ms = _keep_open_ms(response.headers.get('Keep-Alive', ''))
    async with response:
        await outgoing.read_body(response, MAX_CHECK_BYTES)
    return response, Checked(connection, keep_open_ms)


def _keep_open_ms(header: str) -> int | None:
    """Return the time that a ``Keep-Alive`` header states."""
    for part in header.split(','):
        name, _, value = part.partition('=')
        value = value.strip()
        if name.strip().lower() == 'timeout' and value.isdecimal():
            return int(value[:6]) * clock.MS_PER_SECOND
    return None
