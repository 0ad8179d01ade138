"""The users' platform: its names, formats and calls, decoded once here.

Nothing here decides. What the platform calls a machine, a zone, a back end
or a runner leaves this folder as an instance, a failure domain, an endpoint.
"""

from berylhollow.platform._caller import CallerDialect
from berylhollow.platform._node import load
from berylhollow.platform._node import Node
from berylhollow.platform._node import node_file
from berylhollow.platform._node import NODE_FILE_VARIABLE
from berylhollow.platform._order import EndpointControl
from berylhollow.platform._order import EndpointState
from berylhollow.platform._order import Order
from berylhollow.platform._records import CONFIGURATION_STREAM
from berylhollow.platform._records import decode_instance
from berylhollow.platform._records import decode_news
from berylhollow.platform._records import INSTANCE_STREAM
from berylhollow.platform._runs import Answer
from berylhollow.platform._runs import EndpointCalls
from berylhollow.platform._runs import NotRun
from berylhollow.platform._store import StoreClient

READINESS_PATH = '/v1/ready'

__all__ = [
    'CONFIGURATION_STREAM',
    'INSTANCE_STREAM',
    'NODE_FILE_VARIABLE',
    'READINESS_PATH',
    'Answer',
    'CallerDialect',
    'EndpointCalls',
    'EndpointControl',
    'EndpointState',
    'Node',
    'NotRun',
    'Order',
    'StoreClient',
    'decode_instance',
    'decode_news',
    'load',
    'node_file',
]
