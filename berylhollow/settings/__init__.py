"""Settings of a process: JSON with comments, validated in full at start.

Each option is declared once, as a field of a role's frozen dataclass. The
shipped defaults file, the reference page, the ``settings`` command and the
validation are all derived from that declaration.
"""

from berylhollow.settings import _check
from berylhollow.settings import _describe
from berylhollow.settings import _load
from berylhollow.settings import _options
from berylhollow.settings import _replay
from berylhollow.settings import _roles

EndpointKind = _roles.EndpointKind
EngineSettings = _roles.EngineSettings
Fault = _check.Fault
GatewaySettings = _roles.GatewaySettings
LogLevel = _roles.LogLevel
PlatformSettings = _roles.PlatformSettings
ReplaySettings = _replay.ReplaySettings
Role = _roles.Role
ServiceSettings = _roles.ServiceSettings
SettingsError = _check.SettingsError
SidecarSettings = _roles.SidecarSettings

defaults_text = _describe.defaults_text
describe = _describe.describe
load = _load.load
parse = _check.parse
parse_http_url = _options.parse_http_url
reference_text = _describe.reference_text
