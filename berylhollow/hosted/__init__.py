"""Compose the processes that run on the users' platform.

The gateway process serves the project's own interface, with different
adapters: the callers' dialect, the store's routes and endpoint list, and
requests that are sent directly to endpoints. The sidecar process of an
endpoint is a loader there. Each role is a module of its own, imported by its
own process only: the imports of the other role would take a quarter of a
sidecar's start.
"""
