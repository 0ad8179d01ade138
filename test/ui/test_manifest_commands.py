"""Tests of validate, plan, publish and settle on a stand-in platform."""

import asyncio
import json
import os
import tempfile

from berylhollow.util import exits
from test import standin_helper
from test.ui import test_program

MANIFEST = {
    'services': [{'name': 'modelos', 'base_model': 'base'}],
    'adapters': [
        {'name': 'a1', 'service': 'modelos', 'versions': [{'version': '1'}]}
    ],
}


class ManifestCommandsTest(standin_helper.StandInTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.url = await self.serve_platform()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.path = os.path.join(folder, 'manifest.jsonc')
        self.write_manifest(json.dumps(MANIFEST))

    def write_manifest(self, text):
        with open(self.path, 'w', encoding='utf-8') as file:
            file.write(text)

    async def run_command(self, name, *options):
        return await asyncio.to_thread(
            test_program.run, name, *options, '--platform', self.url
        )

    async def test_plan_publish_and_publish_again(self):
        code, out, _ = await self.run_command('plan', self.path)
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertIn('+ adapter a1', out)
        self.assertIn('2 changes against revision 0', out)
        code, out, _ = await self.run_command('publish', self.path)
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertIn('accepted: revision 1', out)
        code, out, _ = await self.run_command('publish', self.path)
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertIn('nothing to change at revision 1', out)

    async def test_a_replaced_base_exits_as_a_conflict(self):
        await self.run_command('publish', self.path, '--operator', 'ana')
        code, _, err = await self.run_command(
            'publish', self.path, '--base', '0'
        )
        self.assertEqual(code, exits.ExitCode.CONFLICT)
        self.assertIn('revision 1 by ana', err)

    async def test_an_invalid_file_is_not_published(self):
        self.write_manifest('{"services": [{"name": "x"}], "more": 1}')
        code, _, err = await self.run_command('publish', self.path)
        self.assertEqual(code, exits.ExitCode.INVALID)
        self.assertIn('more: is not known', err)
        self.assertIn('services[0].base_model', err)
        code, out, _ = await self.run_command('plan', self.path)
        self.assertEqual(code, exits.ExitCode.INVALID)

    async def test_an_unknown_change_is_not_settled(self):
        code, _, err = await self.run_command('settle', 'no-such-change')
        self.assertEqual(code, exits.ExitCode.UNAVAILABLE)
        self.assertIn('not known', err)

    async def test_validate_counts_or_names_faults(self):
        code, out, _ = test_program.run('validate', self.path)
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertIn('1 services, 1 adapters', out)
        self.write_manifest('{"services": 1}')
        code, _, err = test_program.run('validate', self.path)
        self.assertEqual(code, exits.ExitCode.INVALID)
        self.assertIn('services: must be an array', err)

    async def test_validate_prints_the_schema(self):
        code, out, _ = test_program.run('validate', '--schema')
        self.assertEqual(code, exits.ExitCode.OK)
        self.assertIn('$schema', json.loads(out))
