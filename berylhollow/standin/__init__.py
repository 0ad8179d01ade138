"""Small stand-ins of the outside systems, for tests and for trying out.

The models (``log``, ``instances``, ``weights``, ``engine``) have no I/O and
no clock: the caller passes ``now_ms``, which must never go back. The servers
put the same models behind HTTP.
"""
