"""An exponentially weighted moving average seeded with its first value."""

SMOOTHING = 0.1


def update_average(
    average: float, value: float, smoothing: float = SMOOTHING
) -> float:
    """Return the average updated with a value; 0 means no value so far."""
    if not average:
        return float(value)
    return average + smoothing * (value - average)
