"""Code that all shells share: feeds a reducer and carries out its effects."""

from berylhollow.shell import _driver
from berylhollow.shell import _gateway_links
from berylhollow.shell import _log_effects
from berylhollow.shell import _pages_server
from berylhollow.shell import _platform_calls
from berylhollow.shell import _tasks

Driver = _driver.Driver
GatewayLinks = _gateway_links.GatewayLinks
InstanceList = _platform_calls.InstanceList
KeyedLog = _platform_calls.KeyedLog
Log = _platform_calls.Log
PagesServer = _pages_server.PagesServer
PlatformCalls = _platform_calls.PlatformCalls
Reducer = _driver.Reducer
Tasks = _tasks.Tasks
log_service_clients = _platform_calls.log_service_clients
write_log = _log_effects.write_log
