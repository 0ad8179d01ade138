"""Links between the processes of one deployment."""

from berylhollow import link

LINK_KEY = 'links of one deployment on its own network'
"""Key of the links. A link needs a key, and the platform provides no secret;
this one only keeps processes of other systems from being taken for ours by
mistake."""

LINK_OPTIONS = link.Options(
    ping_interval_ms=5000,
    ping_timeout_ms=1000,
    handshake_timeout_ms=1000,
    close_timeout_ms=200,
)
"""Options of the links. A gateway notices a silent link sooner by missing
reports than by its pings, and a sidecar forgets by itself the demand of a
silent gateway, so frequent pings add nothing. Pinging an idle link every
second costs each end a tenth of a millisecond of processor time for each ping
(``tools/bench_idle_links.py``), and there are sixty links or more."""
