"""Tells whether the process that wrote an answer has outlived it.

An endpoint that crashes ends its answers without a length as one does that
has finished them. Its address shows nothing: a next start may listen there at
once. An open connection leads to the same process as before. So a process has
outlived its answer if it answers a health check that was sent after the
answer's end, over a connection that led to it before the request was sent.
Design: ``docs/design/0026-ends-of-answers.md``.
"""

from berylhollow import clock
from berylhollow.liveness import _checks
from berylhollow.liveness import _process
from berylhollow.liveness import _watch

CHECK_DEADLINE_MS = _checks.CHECK_DEADLINE_MS
MS_PER_SECOND = clock.MS_PER_SECOND
RETRY_MS = _watch.RETRY_MS
USED_AT_ONCE = _watch.USED_AT_ONCE
Checked = _checks.Checked
Evidence = _process.Evidence
Observation = _watch.Observation
Process = _process.Process
Sender = _checks.Sender
Target = _checks.Target
Watch = _watch.Watch
Watches = _watch.Watches
send_check = _checks.send_check
