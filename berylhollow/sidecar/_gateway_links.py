"""The links that gateways open to a sidecar."""

import asyncio
import collections.abc
import logging

from berylhollow import clock
from berylhollow import events
from berylhollow import link as links
from berylhollow import messages
from berylhollow import settings as all_settings
from berylhollow import shell

LOG = logging.getLogger(__name__)

ROLE = events.Role.ENDPOINT.value
ROOM_PAUSE_S = 0.005


class GatewayLinks:
    """Accept links and turn what happens on them into events.

    A gateway has one link at a time: a newer one replaces the older, whose
    later messages are dropped. ``acknowledge`` takes acknowledgements, which
    concern no decision; ``relieve`` is told of a peer that takes more again,
    ``detach`` of one whose link is gone.
    """

    def __init__(
        self,
        settings: all_settings.SidecarSettings,
        incarnation: str,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        tasks: shell.Tasks,
    ):
        self.feed = feed
        self.time = time
        self.tasks = tasks
        self.full: set[str] = set()
        self.by_peer: dict[str, links.Link] = {}
        self.acknowledge: collections.abc.Callable[
            [messages.Acknowledge], None
        ]
        self.relieve: collections.abc.Callable[[str], None]
        self.detach: collections.abc.Callable[[str], None]
        self.server = links.LinkServer(
            settings.listen.host,
            settings.listen.port,
            settings.link_key.encode(),
            links.Identity(settings.instance, ROLE, incarnation),
            self,
        )

    async def start(self) -> None:
        """Listen; raises OSError if the port is taken."""
        await self.server.start()

    async def stop(self) -> None:
        """Close every link after what was sent on it."""
        await self.server.stop()

    def send(self, peer: str, message: messages.Message) -> None:
        """Send if there is a link; otherwise drop the message."""
        link = self.by_peer.get(peer)
        if link is not None:
            link.send(message)

    def linked(self, peer: str) -> bool:
        """Tell whether there is a link to the peer."""
        return peer in self.by_peer

    def congested(self, peer: str) -> bool:
        """Tell whether the peer's link has enough to send for now.

        If it has, ``relieve`` is called once it takes more.
        """
        link = self.by_peer.get(peer)
        if link is None or not link.congested:
            return False
        if peer not in self.full:
            self.full.add(peer)
            self.tasks.start(self._await_room(peer))
        return True

    async def _await_room(self, peer: str) -> None:
        """Look at a full link until it has room, then tell.

        Acknowledgements alone would not do: an answer of which everything
        has arrived gets none, and would wait for ever.
        """
        while self.congested(peer):
            await asyncio.sleep(ROOM_PAUSE_S)
        self.full.discard(peer)
        self.relieve(peer)

    def close(self, peer: str) -> None:
        """Close the link to a peer after what was sent on it."""
        link = self.by_peer.get(peer)
        if link is not None:
            link.close()

    # Told by the links

    def link_up(self, link: links.Link) -> None:
        peer = link.peer.instance_id
        older = self.by_peer.pop(peer, None)
        if older is not None:
            older.close(links.Reason.REPLACED)
            self._closed(peer)
        self.by_peer[peer] = link
        self.feed(
            events.LinkOpened(
                self.time.now_ms(),
                peer,
                events.Role.GATEWAY,
                link.peer.incarnation,
            )
        )

    def message(self, link: links.Link, message: messages.Message) -> None:
        peer = link.peer.instance_id
        if self.by_peer.get(peer) is not link:
            return
        if isinstance(message, messages.Acknowledge):
            self.acknowledge(message)
            return
        self.feed(events.MessageReceived(self.time.now_ms(), peer, message))

    def link_down(self, link: links.Link, _reason: links.Reason) -> None:
        if link.peer is None:
            return
        peer = link.peer.instance_id
        if self.by_peer.get(peer) is link:
            del self.by_peer[peer]
            self._closed(peer)

    def _closed(self, peer: str) -> None:
        self.detach(peer)
        self.feed(events.LinkClosed(self.time.now_ms(), peer))
