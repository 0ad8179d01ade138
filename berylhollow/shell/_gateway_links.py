"""Links that gateways open to a sidecar or a loader."""

import collections.abc

from berylhollow import clock
from berylhollow import events
from berylhollow import link as links
from berylhollow import messages


class GatewayLinks:
    """Accepts links from gateways and feeds their events to a reducer.

    A gateway has one link at a time. A new link replaces the previous one,
    and later messages on the previous one are dropped.
    """

    def __init__(
        self,
        identity: links.Identity,
        listen: tuple[str, int],
        key: bytes,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        options: links.Options | None = None,
    ):
        self.feed = feed
        self.time = time
        self.by_peer: dict[str, links.Link] = {}
        host, port = listen
        self.server = links.LinkServer(
            host, port, key, identity, self, options
        )

    async def start(self) -> None:
        """Listen; raises OSError if the port is taken."""
        await self.server.start()

    async def stop(self) -> None:
        """Close every link once everything sent on it has gone out."""
        await self.server.stop()

    def send(self, peer: str, message: messages.Message) -> None:
        """Send a message to a peer; drop it if there is no link."""
        link = self.by_peer.get(peer)
        if link is not None:
            link.send(message)

    def linked(self, peer: str) -> bool:
        """Tell whether there is a link to the peer."""
        return peer in self.by_peer

    def close(self, peer: str) -> None:
        """Close the link to a peer once everything sent on it has gone out."""
        link = self.by_peer.get(peer)
        if link is not None:
            link.close()

    # Callbacks of the links

    def link_up(self, link: links.Link) -> None:
        peer = link.peer.instance_id
        older = self.by_peer.pop(peer, None)
        if older is not None:
            older.close(links.Reason.REPLACED)
            self.closed(peer)
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
        if self.by_peer.get(peer) is link:
            self.feed(
                events.MessageReceived(self.time.now_ms(), peer, message)
            )

    def link_down(self, link: links.Link, _reason: links.Reason) -> None:
        if link.peer is None:
            return
        peer = link.peer.instance_id
        if self.by_peer.get(peer) is link:
            del self.by_peer[peer]
            self.closed(peer)

    def closed(self, peer: str) -> None:
        """Feed the event that the current link to a peer was closed."""
        self.feed(events.LinkClosed(self.time.now_ms(), peer))
