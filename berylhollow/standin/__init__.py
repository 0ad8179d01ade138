"""Stand-ins for the external systems, for tests and for local trials.

The models (``log``, ``instances``, ``weights``, ``engine``) have no I/O and
no clock: the caller passes ``now_ms``, which must never decrease. The servers
expose the same models over HTTP. ``endpoint_model`` waits on the event loop
instead, whose time may be virtual.
"""
