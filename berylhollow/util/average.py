"""An exponentially weighted moving average that starts at its first value."""

SMOOTHING = 0.1


def smoothed(
    average: float, value: float, smoothing: float = SMOOTHING
) -> float:
    """Return the average with one more value; 0 stands for no value yet."""
    if not average:
        return float(value)
    return average + smoothing * (value - average)
