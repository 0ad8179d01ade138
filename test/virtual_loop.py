"""An asyncio event loop on virtual time, for tests of code that waits."""

import asyncio
import selectors

from berylhollow import clock


class _SkippingSelector(selectors.DefaultSelector):
    """Reports what is ready now; a wait only moves the loop's time."""

    def __init__(self):
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError('nothing is left to wait for')
            self.skipped_s += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that skips to its next timer instead of waiting.

    Runs are repeatable, and take no longer than their computations.
    """

    def __init__(self):
        self.selector = _SkippingSelector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.skipped_s


class LoopClock:
    """The running loop's time as a ``clock.Clock``."""

    def now_ms(self):
        loop = asyncio.get_running_loop()
        return round(loop.time() * clock.MS_PER_SECOND)


def run(main):
    """Run a coroutine to its end on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
