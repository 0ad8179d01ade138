"""Names that follow from addresses."""


def beside(address: str) -> str:
    """Return the name on links of the sidecar beside an address.

    Sidecars stand on the instance of their endpoint, so its IP names both;
    no list says which instance has which sidecar.
    """
    return f'beside {address.rpartition(":")[0]}'
