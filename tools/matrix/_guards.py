"""The guards, each with a variant of the code that lacks it.

A matrix that stays green without a guard proves nothing of it: each variant
must break a promise in some cell.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import types
from unittest import mock

from berylhollow import configuration
from berylhollow.configuration import _fold
from berylhollow.configuration import _follower
from berylhollow.configuration import _history
from berylhollow import effects
from berylhollow.gateway import _attempts
from berylhollow.gateway import _claims
from berylhollow.gateway import _shutdown as gateway_shutdown
from berylhollow.gateway import _state as gateway_state
from berylhollow import messages
from berylhollow.quarantine import _suspects
from berylhollow.sidecar import _admission
from berylhollow.sidecar import _engine
from berylhollow.sidecar import _orders
from berylhollow.sidecar import _reducer
from berylhollow.sidecar import _shutdown
from berylhollow.sidecar import _takeover
from berylhollow import stream
from tools.matrix import _cells

MOST_CELLS = 400

Make = collections.abc.Callable[
    [collections.abc.Callable], collections.abc.Callable
]


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """A guard, the function that holds it, and that function without it.

    ``flow`` and ``faults`` say in which cells it is looked for: the first
    fault at every step, the second soon after it. ``also`` is a
    second function that covers the same failure and is removed with it.
    """

    name: str
    owner: types.ModuleType | type | dict
    function: str | type
    without: Make
    flow: str
    faults: tuple[str, ...] = ()
    also: tuple | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Catch:
    """The cell that shows that a guard is gone; None if no cell does."""

    name: str
    flow: str
    result: _cells.Result | None


def catch(name: str) -> Catch:
    """Look for a cell that breaks a promise without the guard."""
    guard = GUARDS[name]
    cells = list(itertools.islice(candidates(guard), MOST_CELLS))
    with removed(guard):
        for cell in cells:
            result = _cells.run(cell)
            if result.violations:
                return Catch(name, guard.flow, result)
    return Catch(name, guard.flow, None)


@contextlib.contextmanager
def removed(guard: Guard):
    """Run without a guard."""
    with contextlib.ExitStack() as changes:
        changes.enter_context(
            changed(guard.owner, guard.function, guard.without)
        )
        if guard.also is not None:
            changes.enter_context(changed(*guard.also))
        yield


def changed(owner, function, without: Make):
    """Return a change of one function, in a module, class or table."""
    if isinstance(owner, dict):
        return mock.patch.dict(owner, {function: without(owner[function])})
    changed_to = without(getattr(owner, function))
    return mock.patch.object(owner, function, changed_to)


def candidates(guard: Guard) -> collections.abc.Iterator[_cells.Cell]:
    """Yield the cells of a guard, the one without faults first."""
    yield _cells.Cell(guard.flow)
    if not guard.faults:
        return
    steps = _cells.steps_of(guard.flow)
    later = (1, 5, 25) if len(guard.faults) > 1 else (0,)
    for number, step, after in itertools.product((1, 4, 9), steps, later):
        if steps[step] < number:
            continue
        strikes = [_cells.Strike(guard.faults[0], step, number)]
        strikes += [
            _cells.Strike(fault, '', after) for fault in guard.faults[1:]
        ]
        yield _cells.Cell(guard.flow, tuple(strikes))


def without_pins(original):
    def may_load(state, slot, at_ms):
        pins = slot.pins
        slot.pins = 0
        allowed = original(state, slot, at_ms)
        slot.pins = pins
        return allowed

    return may_load


def without_epochs(original):
    def new_epoch(state, event):
        slots = state.slots
        done = original(state, event)
        state.slots = slots or state.slots
        return done

    return new_epoch


def without_fencing(original):
    return lambda state: 1


def without_claims(original):
    def claim(state, active, at_ms):
        active.phase = gateway_state.Phase.WAITING
        return _attempts.place(state, active, at_ms)

    return claim


def without_end_check(original):
    def end(receiver, frame):
        receiver.complete = True

    return end


def without_drain_refusal(original):
    def refusal(state, offer, at_ms):
        stopping = state.stopping
        state.stopping = False
        kind = original(state, offer, at_ms)
        state.stopping = stopping
        return kind

    return refusal


def without_unknown_rule(original):
    def may_retry(state, active, lost):
        may_have_run = active.may_have_run
        active.may_have_run = False
        allowed = original(state, active, lost)
        active.may_have_run = may_have_run
        return allowed

    return may_retry


def without_retry_rule(original):
    def may_retry(state, active, lost):
        phase = active.phase
        active.phase = gateway_state.Phase.OFFERED
        allowed = original(state, active, lost)
        active.phase = phase
        return allowed

    return may_retry


def without_quarantine(original):
    return lambda suspects, fingerprint, at_ms: 0


def without_offer_memory(original):
    def offered(state, event):
        state.attempts.pop(event.message.attempt_id, None)
        return original(state, event)

    return offered


def without_farewell(original):
    def tick(state, at_ms):
        state.awaited_gateways.clear()
        return original(state, at_ms)

    return tick


def without_waiting(original):
    def tick(state, at_ms):
        if not state.stopping or state.exited:
            return []
        state.exited = True
        return [effects.Exit(0)]

    return tick


def without_names(original):
    return lambda state, slot: slot.pins > 0


def without_homes(original):
    return lambda slot, adapter: None


def without_monotone_revision(original):
    def install(history, data):
        history.state = configuration.from_snapshot(data)
        history.recent.clear()
        history.encoded_state = None
        return True

    return install


def without_monotone_service(original):
    def advance(follower, at_ms):
        if follower.current is not None or follower.has_newest_revision(at_ms):
            follower.current = follower.history.state.configuration

    return advance


def without_base_check(original):
    def fold(state, entry):
        based = configuration.decode_change(entry.data).base_revision
        view = dataclasses.replace(state.configuration, revision=based)
        return original(dataclasses.replace(state, configuration=view), entry)

    return fold


def without_knowing(original):
    return lambda follower, at_ms: True


def without_doubt(original):
    return lambda state, active, event: event.message


ALL = (
    Guard('pin', _orders, 'may_load', without_pins, 'evict'),
    Guard(
        'pin by name',
        _orders,
        '_is_in_use',
        without_names,
        'evict unfenced',
        ('load hangs',),
        also=(_orders, 'mark_ordered', without_homes),
    ),
    Guard(
        'epoch check',
        _engine,
        '_new_epoch',
        without_epochs,
        'request',
        ('engine restart',),
    ),
    Guard(
        'fencing',
        _takeover,
        'next_fence',
        without_fencing,
        'evict',
        ('load order late',),
    ),
    Guard('claim', _claims, 'claim', without_claims, 'keyed request'),
    Guard(
        'end-of-stream check',
        stream.StreamReceiver,
        '_accept_end',
        without_end_check,
        'keyed request',
        ('frame late',),
    ),
    Guard(
        'drain refusal',
        _admission,
        '_refusal',
        without_drain_refusal,
        'drain',
        ('sidecar stopped',),
    ),
    Guard(
        'unknown-outcome rule',
        _attempts,
        '_may_retry',
        without_unknown_rule,
        'keyed request',
        ('sidecar killed',),
    ),
    Guard(
        'retry rule',
        _attempts,
        '_may_retry',
        without_retry_rule,
        'request',
        ('engine restart',),
    ),
    Guard(
        'quarantine',
        _suspects.Suspects,
        'quarantined_ms',
        without_quarantine,
        'request',
        ('crashing request',),
    ),
    Guard(
        'memory of offers',
        _reducer._MESSAGES,
        messages.Offer,
        without_offer_memory,
        'keyed request',
        ('frame doubled',),
    ),
    Guard(
        'farewell of gateways',
        _shutdown,
        'tick',
        without_farewell,
        'keyed request',
        ('endpoint leaving',),
    ),
    Guard(
        'stop waits for requests',
        gateway_shutdown,
        'tick',
        without_waiting,
        'stop',
    ),
    Guard(
        'monotone revision',
        _history.History,
        'install',
        without_monotone_revision,
        'snapshot',
        ('log slow',),
        also=(
            _follower.Follower,
            'advance',
            without_monotone_service,
        ),
    ),
    Guard(
        'base revision',
        _fold,
        'fold',
        without_base_check,
        'publish',
    ),
    Guard(
        'newest before serving',
        _follower.Follower,
        'has_newest_revision',
        without_knowing,
        'replace all',
        ('log down',),
    ),
    Guard(
        'doubt of a late "not run"',
        _attempts,
        '_distrust_stale_not_run',
        without_doubt,
        'request',
        ('gateway paused for long', 'link down'),
    ),
)

GUARDS = {guard.name: guard for guard in ALL}
