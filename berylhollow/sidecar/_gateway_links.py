"""The links that gateways open to a sidecar."""

import asyncio
import collections.abc

from berylhollow import clock
from berylhollow import events
from berylhollow import link as links
from berylhollow import messages
from berylhollow import settings as all_settings
from berylhollow import shell

ROLE = events.Role.ENDPOINT.value
CONGESTION_POLL_S = 0.005


class GatewayLinks(shell.GatewayLinks):
    """Links that also carry answers, with callbacks for their flow control.

    ``on_acknowledge`` takes acknowledgements, which the reducer does not
    need. ``on_writable`` takes the name of a peer whose link is no longer
    congested, ``on_closed`` that of a peer whose link is gone.
    """

    def __init__(
        self,
        settings: all_settings.SidecarSettings,
        incarnation: str,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        tasks: shell.Tasks,
    ):
        super().__init__(
            links.Identity(settings.instance, ROLE, incarnation),
            (settings.listen.host, settings.listen.port),
            settings.link_key.encode(),
            feed,
            time,
        )
        self.tasks = tasks
        self.congested_peers: set[str] = set()
        self.on_acknowledge: collections.abc.Callable[
            [messages.Acknowledge], None
        ]
        self.on_writable: collections.abc.Callable[[str], None]
        self.on_closed: collections.abc.Callable[[str], None]

    def is_congested(self, peer: str) -> bool:
        """Return whether the link to a peer has too much to send for now.

        If it has, ``on_writable`` is called once it takes more.
        """
        link = self.by_peer.get(peer)
        if link is None or not link.is_congested:
            return False
        if peer not in self.congested_peers:
            self.congested_peers.add(peer)
            self.tasks.start(self._await_writable(peer))
        return True

    async def _await_writable(self, peer: str) -> None:
        """Poll a congested link until it takes more, then report that.

        Acknowledgements alone would not suffice: an answer whose frames were
        all acknowledged gets no further one and would wait for ever.
        """
        while self.is_congested(peer):
            await asyncio.sleep(CONGESTION_POLL_S)
        self.congested_peers.discard(peer)
        self.on_writable(peer)

    def message(self, link: links.Link, message: messages.Message) -> None:
        if not isinstance(message, messages.Acknowledge):
            super().message(link, message)
        elif self.by_peer.get(link.peer.instance_id) is link:
            self.on_acknowledge(message)

    def closed(self, peer: str) -> None:
        self.on_closed(peer)
        super().closed(peer)
