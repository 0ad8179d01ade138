"""Drive the real reducers over a virtual clock, with models around them."""

from berylhollow.replay._actions import Action
from berylhollow.replay._actions import Delays
from berylhollow.replay._actions import Point
from berylhollow.replay._deployment import configure
from berylhollow.replay._deployment import load_manifest
from berylhollow.replay._engine import EngineDriver
from berylhollow.replay._facts import Answered
from berylhollow.replay._facts import Ending
from berylhollow.replay._facts import EngineDied
from berylhollow.replay._facts import Exchange
from berylhollow.replay._facts import Offered
from berylhollow.replay._facts import ProcessEnded
from berylhollow.replay._facts import ProcessStarted
from berylhollow.replay._facts import Produced
from berylhollow.replay._facts import Record
from berylhollow.replay._facts import Relayed
from berylhollow.replay._facts import RunBegan
from berylhollow.replay._facts import RunOver
from berylhollow.replay._facts import Said
from berylhollow.replay._facts import SlotTaken
from berylhollow.replay._facts import StopAsked
from berylhollow.replay._gateway import GatewayProcess
from berylhollow.replay._live import LiveOptions
from berylhollow.replay._live import LiveReplay
from berylhollow.replay._live import LiveResult
from berylhollow.replay._live import LiveService
from berylhollow.replay._network import Link
from berylhollow.replay._promises import Oracle
from berylhollow.replay._promises import Probe
from berylhollow.replay._promises import Promise
from berylhollow.replay._promises import Violation
from berylhollow.replay._replay import Replay
from berylhollow.replay._replay import ServiceResult
from berylhollow.replay._service import ServiceDriver
from berylhollow.replay._sidecar import SidecarProcess
from berylhollow.replay._statistics import Distribution
from berylhollow.replay._trace import read_trace
from berylhollow.replay._trace import TraceError
from berylhollow.replay._trace import TraceFault
from berylhollow.replay._trace import TraceItem
from berylhollow.replay._trace import TraceRequest
from berylhollow.replay._trace import write_trace
from berylhollow.replay._world import Latencies
from berylhollow.replay._world import World

__all__ = [
    'Action',
    'Answered',
    'Delays',
    'Distribution',
    'Ending',
    'EngineDied',
    'EngineDriver',
    'Exchange',
    'GatewayProcess',
    'Latencies',
    'Link',
    'LiveOptions',
    'LiveReplay',
    'LiveResult',
    'LiveService',
    'Offered',
    'Oracle',
    'Point',
    'Probe',
    'ProcessEnded',
    'ProcessStarted',
    'Produced',
    'Promise',
    'Record',
    'Relayed',
    'Replay',
    'RunBegan',
    'RunOver',
    'Said',
    'ServiceDriver',
    'ServiceResult',
    'SidecarProcess',
    'SlotTaken',
    'StopAsked',
    'TraceError',
    'TraceFault',
    'TraceItem',
    'TraceRequest',
    'Violation',
    'World',
    'configure',
    'load_manifest',
    'read_trace',
    'write_trace',
]
