"""Mappings of a bounded size."""


def drop_oldest(entries: dict, limit: int) -> None:
    """Drop the entries that were added first, down to the limit."""
    while len(entries) > limit:
        del entries[next(iter(entries))]
