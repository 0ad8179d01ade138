"""Compose the processes that run on the users' platform.

The gateway is the one that serves the project's own interface, with other
adapters around it: callers' dialect, the store's routes and list of
endpoints, and requests that go straight to endpoints. The sidecar of an
endpoint is a loader there. Each role is a module of its own, imported only
by the process that has it: what the other needs is a quarter of a sidecar's
start.
"""
