"""Policies for adapters: routing, load order and eviction.

A policy is chosen by name in the settings. It decides from views that the
reducers pass to it and has neither I/O nor a clock. Its decisions are hints:
the reducers check pins, epochs and names whatever the policy returns.
"""

from berylhollow.policy import _demand
from berylhollow.policy import _registry
from berylhollow.policy import _rendezvous as rendezvous
from berylhollow.policy import _types

DecayedDemand = _demand.DecayedDemand
DemandEstimate = _types.DemandEstimate
EndpointView = _types.EndpointView
Eviction = _types.Eviction
Fleet = _types.Fleet
LateLoad = _types.LateLoad
HeldAdapter = _types.HeldAdapter
LoadOrder = _types.LoadOrder
LoadPlan = _types.LoadPlan
Policy = _registry.Policy
RouteQuery = _types.RouteQuery
Router = _types.Router
AwaitedAdapter = _types.AwaitedAdapter
Weights = _types.Weights

POLICIES = _registry.POLICIES
create_policy = _registry.create_policy
service_weights = _registry.service_weights

__all__ = [
    'POLICIES',
    'DecayedDemand',
    'DemandEstimate',
    'EndpointView',
    'Eviction',
    'Fleet',
    'LateLoad',
    'HeldAdapter',
    'LoadOrder',
    'LoadPlan',
    'Policy',
    'RouteQuery',
    'Router',
    'AwaitedAdapter',
    'Weights',
    'create_policy',
    'rendezvous',
    'service_weights',
]
