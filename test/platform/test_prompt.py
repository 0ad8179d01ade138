"""Which parts of a prompt other requests may share."""

import unittest

from berylhollow.platform import _prompt
from test.platform import test_workspaces


class SharedPartsTest(unittest.TestCase):
    def test_last_part_is_the_requests_own(self):
        header = '5C1E07a2:800, 91bd3f06:410,e4402b7d:250'
        self.assertEqual(
            ('5c1e07a2', '91bd3f06'), _prompt.shared_parts([header])
        )
        self.assertEqual((), _prompt.shared_parts(['5c1e07a2:800']))

    def test_repeated_parts_count_once(self):
        self.assertEqual(
            ('a1', 'b2'), _prompt.shared_parts(['a1:1,b2:1,a1:7', 'c3:1'])
        )

    def test_malformed_lists_have_no_parts(self):
        """Guards against requests that are refused or lost for a header."""
        malformed = (
            '',
            ',',
            'a1',
            'a1:,b2:1',
            'a1:1,,b2:1',
            'zz:1,b2:1',
            ':1,b2:1',
            'a1:-1,b2:1',
            'a1:\u0661,b2:1',
            'a1:1;b2:1',
            f'{"a" * 65}:1,b2:1',
            ','.join(['a1:1'] * 1000),
        )
        for header in malformed:
            with self.subTest(header=header[:20]):
                self.assertEqual((), _prompt.shared_parts([header]))
        self.assertEqual((), _prompt.shared_parts([]))

    def test_number_of_parts_is_bounded(self):
        """Guards against a request that makes thousands of parts suspect."""
        header = ','.join(f'{number:x}:1' for number in range(100))
        self.assertEqual(
            _prompt.MAX_SHARED_PARTS, len(_prompt.shared_parts([header]))
        )

    def test_endpoint_gets_the_list_as_it_came(self):
        """Guards against prompts that endpoints read as another's."""
        draft = test_workspaces.accept_request(('Prompt-Prefix', 'A1:1,b2:2'))
        request = draft.build('r', b'')
        self.assertEqual(('a1',), request.shared_parts)
        passed = [x.value for x in request.headers if x.name[0] == 'P']
        self.assertEqual(['A1:1,b2:2'], passed)
