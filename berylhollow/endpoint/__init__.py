"""HTTP clients for endpoints: model engines and plain services."""

from berylhollow.endpoint import _endpoint_client
from berylhollow.endpoint import _engine_client
from berylhollow.endpoint import _types

CacheChange = _types.CacheChange
CacheEvent = _types.CacheEvent
EndpointAnswer = _endpoint_client.EndpointAnswer
EndpointClient = _endpoint_client.EndpointClient
EndpointRequest = _types.EndpointRequest
EngineClient = _engine_client.EngineClient
EngineStatus = _types.EngineStatus
Slot = _types.Slot
SlotOrder = _types.SlotOrder
SlotState = _types.SlotState

parse_adapter = _endpoint_client.parse_adapter
