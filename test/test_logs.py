"""Tests of the structured logs."""

import io
import json
import logging
import threading
import unittest

from berylhollow import logs

LOG = logging.getLogger(__name__)


class StalledStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.released = threading.Event()

    def write(self, text):
        self.entered.set()
        self.released.wait()
        return super().write(text)


class LogsTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        root.handlers[:] = []
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)
        self.addCleanup(root.setLevel, level)

    def lines(self, write, level='info'):
        stream = io.StringIO()
        handler = logs.configure(level, 'gateway', 'one', stream)
        write()
        handler.close()
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_connections_of_links_are_not_logged(self):
        library = logging.getLogger('websockets.server')
        lines = self.lines(lambda: library.info('connection open'))
        self.assertEqual(lines, [])
        lines = self.lines(lambda: library.warning('trouble'))
        self.assertEqual(len(lines), 1)

    def test_line_has_its_fields_and_utc_time(self):
        def write():
            fields = [('request_id', 'r1'), ('adapter', None), ('name', 'x')]
            LOG.info('took %d', 3, extra=logs.extra_fields(fields))

        (line,) = self.lines(write)
        self.assertRegex(line.pop('time'), r'^\d{4}-.*T.*\.\d{3}Z$')
        self.assertEqual(
            line,
            {
                'level': 'INFO',
                'logger': __name__,
                'message': 'took 3',
                'role': 'gateway',
                'instance': 'one',
                'request_id': 'r1',
                'field_name': 'x',
            },
        )

    def test_less_severe_lines_are_left_out(self):
        def write():
            LOG.info('quiet')
            LOG.error('loud')

        lines = self.lines(write, level='warning')
        self.assertEqual([line['message'] for line in lines], ['loud'])

    def test_exception_is_in_its_line(self):
        def write():
            try:
                raise ValueError('broken\nin two')
            except ValueError:
                LOG.exception('failed')

        (line,) = self.lines(write)
        self.assertIn('ValueError: broken', line['exc_info'])

    def test_stalled_reader_of_stderr_does_not_block(self):
        # Guards against all requests hanging at once: if the reader of stderr
        # stalls, the pipe fills up and the event loop blocks in the write of
        # a log line.
        stream = StalledStream()
        handler = logs.QueuedHandler(stream, limit=3)
        handler.emit(logging.makeLogRecord({'msg': 'first'}))
        stream.entered.wait()
        for number in range(5):
            handler.emit(logging.makeLogRecord({'msg': number}))
        self.assertEqual(handler.dropped, 2)
        stream.released.set()
        handler.close()
        self.assertEqual(stream.getvalue(), 'first\n0\n1\n2\n')


class RateLimitFilterTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 10.0
        self.limit = logs.RateLimitFilter(3, lambda: self.now_s)

    def line(self, level=logging.INFO):
        return logging.makeLogRecord({'levelno': level, 'msg': 'x'})

    def test_flood_is_limited_and_counted(self):
        """Guards against a logging loop that takes CPU time from requests."""
        passed = [self.limit.filter(self.line()) for _ in range(10)]
        self.assertEqual(3, sum(passed))
        self.now_s = 11.0
        record = self.line()
        self.assertTrue(self.limit.filter(record))
        self.assertEqual(7, record.lines_left_out)

    def test_flood_of_ordinary_lines_does_not_hide_warnings(self):
        for _ in range(10):
            self.limit.filter(self.line())
        self.assertTrue(self.limit.filter(self.line(logging.WARNING)))
