"""Clients of the platform's instance list and log service."""

from berylhollow.log_service import _instance_client
from berylhollow.log_service import _log_client
from berylhollow.log_service import _types

Instance = _types.Instance
InstanceClient = _instance_client.InstanceClient
LogClient = _log_client.LogClient
OffsetGone = _log_client.OffsetGone
ReadResult = _types.ReadResult
Role = _types.Role
State = _types.State

instance_value = _instance_client.instance_value
parse_instance = _instance_client.parse_instance
