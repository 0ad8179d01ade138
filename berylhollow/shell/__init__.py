"""What the shells of both roles share: feed a reducer, carry effects out."""

from berylhollow.shell import _driver
from berylhollow.shell import _platform_calls
from berylhollow.shell import _tasks

Driver = _driver.Driver
PlatformCalls = _platform_calls.PlatformCalls
Reduce = _driver.Reduce
Tasks = _tasks.Tasks
