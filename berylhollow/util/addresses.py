"""Names derived from addresses."""


def sidecar_peer(address: str) -> str:
    """Return the peer name of the sidecar for an endpoint's address.

    A sidecar runs on the instance of its endpoint, so the IP address
    identifies both. No list maps instances to sidecars.
    """
    return f'beside {address.rpartition(":")[0]}'
