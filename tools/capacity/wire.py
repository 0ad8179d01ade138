"""Bytes of each message between our processes, and of what the log takes."""

from berylhollow import configuration
from berylhollow.link import _codec
from berylhollow import manifest
from berylhollow import messages
from tools.capacity import figures
from tools.capacity import fits
from tools.capacity import memory
from tools.capacity import processor
from tools.capacity import samples

CODEC = _codec.shared_codec()
ADAPTERS = (1000, 3000, 7000, 15_000)
ATTEMPT = '0123456789abcdef-12345.1'
TOKEN = b'data: '.ljust(148, b'x') + b'\n\n'


def measure() -> list[figures.Slope | figures.Value]:
    """Return the sizes of encoded messages and records."""
    found: list[figures.Slope | figures.Value] = [
        figures.Value(f'wire.{name}', 'bytes', len(_frame(message)), how)
        for name, message, how in _messages()
    ]
    found += [_per_slot(), _per_row(), _per_claim(), _per_adapter()]
    return found


def _frame(message: messages.Message) -> bytes:
    return _codec.encode_list([CODEC.encode(message)])


def change_record() -> bytes:
    """Return a change of one adapter's versions as it is on the log."""
    versions = (manifest.Version('8'), manifest.Version('7'))
    changed = manifest.Adapter(
        samples.adapter_name(1), samples.SERVICE, 0, versions
    )
    change = configuration.Change(
        18_000,
        'pipeline-1',
        '0123456789abcdef',
        (configuration.Put(changed),),
    )
    return configuration.encode_change(change)


def _messages():
    entry = messages.LogEntry(18_000, 1_700_000_000_000, change_record())
    held = samples.adapter(1)
    decided = messages.ClaimDecided(1, f'0123456789abcdef/{ATTEMPT}', True)
    return (
        ('offer', samples.offer(1), 'Offer, body of 2,000 bytes'),
        (
            'started',
            messages.Started(
                ATTEMPT,
                200,
                (messages.Header('Content-Type', 'text/event-stream'),),
                held,
            ),
            'Started',
        ),
        ('data', messages.Data(ATTEMPT, 100, TOKEN), 'Data of 150 bytes'),
        ('end', messages.End(ATTEMPT, 243), 'End'),
        ('acknowledge', messages.Acknowledge(ATTEMPT, 100), 'Acknowledge'),
        ('report', samples.report(1), 'Report, 4 slots'),
        (
            'load_wanted',
            messages.LoadWanted(
                'sul-a-endpoint-1', samples.SERVICE, held, 3, 400, 5, 1.5
            ),
            'LoadWanted',
        ),
        ('load_granted', messages.LoadGranted(held, 9, 3000), 'LoadGranted'),
        (
            'configuration_at',
            messages.ConfigurationAt('sul-a-gateway-1', 18_000, 18_000, 500),
            'ConfigurationAt',
        ),
        (
            'configuration_entry',
            messages.ConfigurationEntries((entry,), 18_001),
            'ConfigurationEntries with a change of one adapter',
        ),
        (
            'crashed',
            messages.Crashed(
                'sul-a-endpoint-1/0123456789abcdef',
                'modelos',
                ('0123456789abcdef' * 2,) * 8,
            ),
            'Crashed, 8 suspects',
        ),
        ('claim_decided', decided, 'ClaimDecided'),
    )


def _per_slot() -> figures.Slope:
    points = [
        fits.Point(slots, len(_frame(samples.report(1, slots))))
        for slots in (4, 8, 16, 32)
    ]
    how = 'Report by slots of the engine'
    return figures.slope('wire.report_slot', 'bytes', 'slot', how, points)


def _per_row() -> figures.Slope:
    points = [
        fits.Point(size, len(processor.list_text(size)))
        for size in (10, 100, 1000, 4000)
    ]
    how = 'instance list as JSON'
    return figures.slope('wire.instance', 'bytes', 'row', how, points)


def _per_claim() -> figures.Slope:
    points = [
        fits.Point(
            size,
            sum(map(len, memory.claim_batches(0, size, None))),
        )
        for size in (10, 50, 100, 500)
    ]
    how = 'records of a claim and its end'
    return figures.slope('wire.claim', 'bytes', 'claim', how, points)


def _per_adapter() -> figures.Slope:
    points = []
    for size in ADAPTERS:
        whole = configuration.Change(
            0, 'operator', 'first', whole=samples.declared(size)
        )
        data = configuration.encode_change(whole)
        state, _ = configuration.fold(
            configuration.INITIAL, messages.LogEntry(0, 0, data)
        )
        points.append(fits.Point(size, len(state.snapshot())))
    how = 'snapshot of the configuration'
    return figures.slope('wire.snapshot', 'bytes', 'adapter', how, points)
