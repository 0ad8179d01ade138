"""Heads of any bytes, from the dialect through the reducer."""

import types

import hypothesis
from hypothesis import strategies
import multidict

from berylhollow import errors
from berylhollow import events
from berylhollow import platform
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
NAMES = (
    'Model',
    'Token-Count',
    'Prompt-Prefix',
    'Request-Id',
    'Deadline-Ms',
    'Resumes',
    'Last-Event-Id',
    'Api-Key',
    'Session',
)
ODD_VALUES = (
    b'm/pl\xe5t',
    b'/',
    b'm/@2',
    b'12,34',
    b'9' * 5000,
    b'1,' + b'9' * 5000,
    '²,²'.encode(),
    '²'.encode(),
)
PATHS = (b'/lohu930/2f', b'/puxa403/\xe5', b'/\xff', b'/')


def as_text(data):
    """Decode bytes of a head as the HTTP library does."""
    return data.decode(errors='surrogateescape')


def parse(fields, path=b'/lohu930/2f'):
    """Return the request of a head in bytes; raises BerylhollowError."""
    headers = multidict.CIMultiDict(
        [(name, as_text(value)) for name, value in fields]
    )
    headers['Host'] = builders.HOST
    request = types.SimpleNamespace(
        headers=headers,
        raw_path=as_text(path),
        host=builders.HOST,
        method='POST',
    )
    draft = platform.CallerDialect().parse_head(request, 5000)
    return draft.build('r1', b'{}')


class AnyBytesTest(direct.DirectTestCase):
    """A gateway with one endpoint of each service."""

    def setUp(self):
        super().setUp()
        self.list_instances(
            direct.direct_instance('i-1', '10.0.0.1:80'),
            direct.plain('i-2', '10.0.0.2:80'),
        )

    @SETTINGS
    @hypothesis.given(
        fields=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(NAMES),
                strategies.binary(max_size=40)
                | strategies.sampled_from(ODD_VALUES),
            ),
            max_size=4,
        ),
        path=strategies.sampled_from(PATHS),
    )
    def test_no_head_makes_the_reducer_fail(self, fields, path):
        """Guards against a request that ends the gateway that reads it."""
        try:
            request = parse(fields, path)
        except errors.BerylhollowError as error:
            self.assertIs(errors.Ran.NOT_RUN, error.answer.ran)
            return
        self.feed(events.RequestArrived(10, request, 0.5))

    def test_number_with_thousands_of_digits_is_refused(self):
        """Guards against an answer that blames this gateway, a 500."""
        for text in (b'9' * 5000 + b',1', b'1,' + b'9' * 5000):
            with self.assertRaises(errors.BerylhollowError) as caught:
                parse([('Token-Count', text)])
            self.assertIs(errors.Kind.BAD_HEADER, caught.exception.kind)

    def test_longest_deadline_is_kept(self):
        """Guards against a failure for a deadline far in the future."""
        request = parse([('Deadline-Ms', b'9' * 5000)])
        self.assertEqual(24 * 3600 * 1000, request.deadline_ms)

    def test_digits_of_other_scripts_are_no_number(self):
        """Guards against a 500 for what only looks like a number."""
        request = parse(
            [
                ('Deadline-Ms', '²'.encode()),
                ('Token-Count', '²,²'.encode()),
            ]
        )
        self.assertEqual(5000, request.deadline_ms)
        self.assertEqual(0, request.prompt_tokens)

    def test_name_that_is_no_text_is_refused(self):
        """Guards against a model's name that can't be hashed."""
        with self.assertRaises(errors.BerylhollowError) as caught:
            parse([('Model', b'daka510000/pl\xe5t')])
        self.assertIs(errors.Kind.BAD_HEADER, caught.exception.kind)

    def test_name_in_utf_8_is_served(self):
        """Guards against a refusal of every name beyond ASCII."""
        request = parse([('Model', 'daka510000/plåt'.encode())])
        self.assertEqual('daka510000/plåt', request.adapter.adapter)

    def test_bytes_that_are_only_passed_on_are_kept(self):
        """Guards against refusals for headers that the gateway never reads."""
        request = parse([('Session', b'pl\xe5t')])
        self.assertIn('Session', [x.name for x in request.headers])
