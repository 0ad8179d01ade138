"""The gateway's links: to sidecars, and to and from other gateways."""

import dataclasses
import logging
import typing

from berylhollow import answer_head
from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import link as links
from berylhollow import messages
from berylhollow import settings as all_settings

LOG = logging.getLogger(__name__)

ROLES = {role.value: role for role in events.Role}


class Owner(typing.Protocol):
    """Receives the events and messages of the links."""

    def feed(self, event: events.Event) -> None:
        """Handle an event."""

    def message(self, peer: str, message: messages.Message) -> None:
        """Handle a message from a peer."""


@dataclasses.dataclass(slots=True)
class OpenLink:
    """The link in use with a peer, and the name of the end that opened it."""

    link: links.Link
    opener: str


class _Handler:
    """Passes link events on with the peer that a client meant to reach.

    ``expected`` is None for links that were accepted by the server.
    """

    def __init__(self, owner: 'Links', expected: str | None):
        self.owner = owner
        self.expected = expected

    def link_up(self, link: links.Link) -> None:
        self.owner.link_up(link, self.expected)

    def message(self, link: links.Link, message: messages.Message) -> None:
        self.owner.message(link, message)

    def link_down(self, link: links.Link, reason: links.Reason) -> None:
        self.owner.link_down(link, self.expected)


class Links:
    """Keeps at most one link in use with each peer.

    Two gateways may open links to each other at the same moment. Both ends
    then keep the link that the gateway with the lower name opened. If each
    kept the link that it saw last, each could close the one that the other
    kept, again and again.
    """

    def __init__(
        self,
        settings: all_settings.GatewaySettings,
        incarnation: str,
        time: clock.Clock,
        owner: Owner,
        options: links.Options | None = None,
    ):
        self.options = options
        self.instance = settings.instance
        self.time = time
        self.owner = owner
        self.key = settings.link_key.encode()
        self.identity = links.Identity(
            settings.instance, events.Role.GATEWAY.value, incarnation
        )
        self.server = links.LinkServer(
            settings.peers.host,
            settings.peers.port,
            self.key,
            self.identity,
            _Handler(self, None),
            options,
        )
        self.clients: dict[str, links.LinkClient] = {}
        self.open_links: dict[str, OpenLink] = {}

    async def start(self) -> None:
        """Listen for other gateways. Raises OSError."""
        await self.server.start()

    async def stop(self) -> None:
        """Close every link and wait for them to end."""
        clients = tuple(self.clients.values())
        for client in clients:
            client.link.close(links.Reason.LEAVING)
        for client in clients:
            await client.wait()
        await self.server.stop()

    def open(self, effect: effects.OpenLink) -> None:
        """Start to open a link; LinkOpened or LinkRefused is fed later."""
        if effect.peer in self.clients:
            return
        host, _, port = effect.address.rpartition(':')
        client = links.LinkClient(
            host.strip('[]'),
            int(port),
            self.key,
            self.identity,
            _Handler(self, effect.peer),
            self.options,
            codec=self.server.codec,
        )
        self.clients[effect.peer] = client
        client.start()

    def close(self, effect: effects.CloseLink) -> None:
        """Close the links with a peer once all messages sent are written."""
        client = self.clients.get(effect.peer)
        if client is not None:
            client.link.close()
        current = self.open_links.get(effect.peer)
        if current is not None:
            current.link.close()

    def send(self, peer: str, message: messages.Message) -> None:
        """Send a message if a link to the peer is open."""
        current = self.open_links.get(peer)
        if current is not None:
            current.link.send(message)

    def link_up(self, link: links.Link, expected: str | None) -> None:
        """Use a new link, unless the one in use takes precedence."""
        name = link.peer.instance_id
        if expected is not None and name != expected:
            # The address now belongs to another instance, which must not
            # get work meant for the instance that was listed there.
            LOG.warning('link to %s reached %s instead', expected, name)
            link.close(links.Reason.REPLACED)
            return
        role = ROLES.get(link.peer.role)
        if role is None:
            LOG.warning('link of %s: unknown role', link.peer)
            link.close(links.Reason.MALFORMED)
            return
        opener = self.instance if expected is not None else name
        current = self.open_links.get(name)
        if current is not None:
            if current.opener != opener and opener != min(name, self.instance):
                link.close(links.Reason.REPLACED)
                return
            self._remove_link(name)
            current.link.close(links.Reason.REPLACED)
        self.open_links[name] = OpenLink(link, opener)
        self.owner.feed(
            events.LinkOpened(
                self.time.now_ms(),
                name,
                role,
                link.peer.incarnation,
            )
        )

    def message(self, link: links.Link, message: messages.Message) -> None:
        """Pass a message on, unless its link was replaced."""
        name = link.peer.instance_id
        current = self.open_links.get(name)
        if current is not None and current.link is link:
            if type(message) is messages.Started:
                message = self._checked_head(name, message)
            self.owner.message(name, message)

    def _checked_head(
        self, name: str, message: messages.Started
    ) -> messages.Started | messages.Failed:
        """Return the head of an answer, or a failure if it is none in HTTP.

        The run is cancelled then: nobody can get its answer.
        """
        fault = answer_head.relayed_fault(message.status, message.headers)
        if not fault:
            return message
        attempt_id = message.attempt_id
        LOG.warning(
            'invalid head from a sidecar',
            extra={'peer': name, 'attempt_id': attempt_id, 'reason': fault},
        )
        self.send(name, messages.Cancel(attempt_id))
        kind = errors.Kind.ENDPOINT_FAILED
        return messages.Failed(attempt_id, kind, errors.Ran.UNKNOWN, 0, fault)

    def link_down(self, link: links.Link, expected: str | None) -> None:
        """Feed LinkClosed for the link in use, or LinkRefused."""
        if expected is not None:
            self.clients.pop(expected, None)
        name = link.peer.instance_id if link.peer else None
        current = self.open_links.get(name) if name else None
        if current is not None and current.link is link:
            self._remove_link(name)
        elif expected is not None and expected not in self.open_links:
            self.owner.feed(events.LinkRefused(self.time.now_ms(), expected))

    def _remove_link(self, name: str) -> None:
        """Remove the link in use with a peer and feed LinkClosed."""
        del self.open_links[name]
        self.owner.feed(events.LinkClosed(self.time.now_ms(), name))
