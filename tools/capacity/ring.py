"""Over how many links a change goes from its readers to all gateways."""

import collections

from berylhollow.configuration import _hash_assignment
from berylhollow.configuration import _propagation
from berylhollow import events
from berylhollow.gateway import _peers
from tools.capacity import figures
from tools.capacity import samples

GATEWAYS = 1900
DOMAINS = 23
READERS_PER_DOMAIN = 2
FANOUTS = (3, 6, 11)


def measure() -> list[figures.Value]:
    """Return the hops to the last gateway, by the links that it opens."""
    names = [f'gateway-{number}' for number in range(GATEWAYS)]
    found = []
    for fanout in FANOUTS:
        hops = _hops(_links(names, fanout), _readers(names))
        how = (
            f'{GATEWAYS} gateways, {fanout} links opened by each, '
            f'{DOMAINS * READERS_PER_DOMAIN} readers; worked out with '
            'gateway/_peers.py'
        )
        found.append(figures.Value(f'ring.hops.{fanout}', 'hops', hops, how))
    return found


def _readers(names: list[str]) -> list[str]:
    readers = []
    for domain in range(DOMAINS):
        own = names[domain::DOMAINS]
        readers += _hash_assignment.choose('readers', own, READERS_PER_DOMAIN)
    return readers


def _links(names: list[str], fanout: int) -> dict[str, set[str]]:
    links = collections.defaultdict(set)
    rows = {name: _row(name) for name in names}
    for name in names:
        state = samples.gateway_state(peer_fanout=fanout, instance=name)
        state.peers = {other: rows[other] for other in names if other != name}
        for other in _peers.chosen_peers(state):
            links[name].add(other)
            links[other].add(name)
    return links


def _row(name: str) -> events.Instance:
    return events.Instance(
        name, events.Role.GATEWAY, '', 'd', 'r', '127.0.0.1:1', False
    )


def _hops(links: dict[str, set[str]], readers: list[str]) -> int:
    reached = set(readers)
    edge = reached
    hops = 0
    while len(reached) < len(links):
        edge = {
            other
            for name in edge
            for other in _hash_assignment.choose(
                name, links[name], _propagation.MAX_GATEWAY_TARGETS
            )
        } - reached
        if not edge:
            raise RuntimeError('a push does not reach every gateway')
        reached |= edge
        hops += 1
    return hops
