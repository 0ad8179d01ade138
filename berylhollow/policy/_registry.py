"""Registry of the policies, by the names that the settings use."""

import collections.abc
import dataclasses

from berylhollow.policy import _baselines
from berylhollow.policy import _demand
from berylhollow.policy import _direct_router
from berylhollow.policy import _eviction
from berylhollow.policy import _load_order
from berylhollow.policy import _router
from berylhollow.policy import _types

DEMAND_TIME_CONSTANT_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The parts of a policy and the name that settings give it.

    ``demand`` keeps state, so each process creates its own policy.
    """

    name: str
    router: _types.Router
    load_order: _types.LoadOrder
    eviction: _types.Eviction
    demand: _types.DemandEstimate


def _lru() -> Policy:
    return Policy(
        'lru',
        _baselines.HolderLeastLoaded(),
        _baselines.OldestFirst(),
        _baselines.LeastRecentlyUsed(),
        _demand.DecayedDemand(DEMAND_TIME_CONSTANT_MS),
    )


def _lru_blind() -> Policy:
    return dataclasses.replace(
        _lru(), name='lru-blind', router=_baselines.LeastLoaded()
    )


def _static_hash() -> Policy:
    return dataclasses.replace(
        _lru(), name='static-hash', router=_baselines.StaticHash()
    )


def _random() -> Policy:
    return dataclasses.replace(
        _lru(),
        name='random',
        router=_baselines.RandomChoice(),
        eviction=_baselines.RandomEviction(),
    )


def _adaptive() -> Policy:
    return dataclasses.replace(
        _lru(),
        name='adaptive',
        load_order=_load_order.MostServed(),
        eviction=_eviction.LeastDemand(),
        router=_router.PredictedTime(),
    )


def _quick_reload() -> Policy:
    return dataclasses.replace(
        _adaptive(), name='quick-reload', router=_direct_router.QuickReload()
    )


POLICIES: dict[str, collections.abc.Callable[[], Policy]] = {
    'adaptive': _adaptive,
    'lru': _lru,
    'lru-blind': _lru_blind,
    'static-hash': _static_hash,
    'random': _random,
    'quick-reload': _quick_reload,
}


def create_policy(name: str) -> Policy:
    """Create a policy by its name; raises ``KeyError`` if it is unknown."""
    return POLICIES[name]()


def service_weights(configuration, service: str) -> _types.Weights:
    """Return the weights that the configuration declares for a service.

    Returns the defaults if no configuration was read yet, or if it does not
    declare the service.
    """
    if configuration is None:
        return _types.Weights()
    declared = configuration.service(service)
    if declared is None:
        return _types.Weights()
    return _types.Weights(
        declared.load_stall_weight, declared.batch_efficiency_weight
    )
