"""Adapter to the users' platform: its names, formats and calls.

This package only encodes and decodes. It translates the platform's terms for
machines, zones, back ends and runners into the terms of the other packages:
instance, failure domain and endpoint.
"""

from berylhollow.platform._caller import CallerDialect
from berylhollow.platform._endpoint_calls import Answer
from berylhollow.platform._endpoint_calls import EndpointClient
from berylhollow.platform._endpoint_calls import NotRunReason
from berylhollow.platform._node import load
from berylhollow.platform._node import Node
from berylhollow.platform._node import node_file_path
from berylhollow.platform._node import NODE_FILE_VARIABLE
from berylhollow.platform._order import EndpointControlClient
from berylhollow.platform._order import EndpointState
from berylhollow.platform._order import Order
from berylhollow.platform._records import CONFIGURATION_STREAM
from berylhollow.platform._records import decode_configuration_record
from berylhollow.platform._records import decode_instance
from berylhollow.platform._records import INSTANCE_STREAM
from berylhollow.platform._store import StoreClient

READINESS_PATH = '/v1/ready'

__all__ = [
    'CONFIGURATION_STREAM',
    'INSTANCE_STREAM',
    'NODE_FILE_VARIABLE',
    'READINESS_PATH',
    'Answer',
    'CallerDialect',
    'EndpointClient',
    'EndpointControlClient',
    'EndpointState',
    'Node',
    'NotRunReason',
    'Order',
    'StoreClient',
    'decode_instance',
    'decode_configuration_record',
    'load',
    'node_file_path',
]
