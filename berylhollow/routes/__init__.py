"""Routing of requests to services, as published by the operators."""

from berylhollow.routes._follower import RouteFollower
from berylhollow.routes._records import MalformedRecordError
from berylhollow.routes._records import NewAdapterVersion
from berylhollow.routes._records import PublishedRecord
from berylhollow.routes._table import Engine
from berylhollow.routes._table import Model
from berylhollow.routes._table import RepeatPolicy
from berylhollow.routes._table import RequestLimits
from berylhollow.routes._table import Route
from berylhollow.routes._table import RouteTable
from berylhollow.routes._table import Service
from berylhollow.routes._table import ServiceShare
from berylhollow.routes._view import ADAPTER_SEPARATOR
from berylhollow.routes._view import FIRST_VERSION
from berylhollow.routes._view import RouteView

__all__ = [
    'ADAPTER_SEPARATOR',
    'FIRST_VERSION',
    'Engine',
    'MalformedRecordError',
    'Model',
    'NewAdapterVersion',
    'PublishedRecord',
    'RepeatPolicy',
    'RequestLimits',
    'Route',
    'RouteFollower',
    'RouteTable',
    'RouteView',
    'Service',
    'ServiceShare',
]
