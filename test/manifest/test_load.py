"""Tests of parsing a manifest, of its faults and of its schema."""

import json
import unittest

import jsonschema

from berylhollow import manifest

VALID_MANIFEST = {
    'services': [
        {'name': 'vaxel-ai', 'base_model': 'base', 'checks_fencing': True},
        {'name': 'medlem-register', 'kind': 'plain'},
    ],
    'adapters': [
        {
            'name': 'kund-1/summary',
            'service': 'vaxel-ai',
            'priority': 5,
            'versions': [
                {'version': '1', 'servable': False},
                {'version': '2'},
            ],
        }
    ],
    'callers': [{'name': 'console', 'weight': 2, 'limits': {'in_flight': 8}}],
}

# Changes to the valid manifest as (section, key, value). Each is a fault that
# the schema must reject too.
SCHEMA_FAULTS = (
    ('services', 'name', 'två'),
    ('services', 'name', ''),
    ('services', 'name', 'a' * 129),
    ('services', 'kind', 'engin'),
    ('services', 'kind', None),
    ('services', 'base_model', ''),
    ('services', 'base_model', 7),
    ('services', 'checks_fencing', 1),
    ('services', 'load_stall_weight', -1),
    ('services', 'load_stall_weight', '1'),
    ('services', 'batch_efficiency_weight', 1001),
    ('services', 'limits', {'in_flight': 0}),
    ('services', 'limits', {'in_flight': True}),
    ('services', 'limits', {'rate': 1}),
    ('services', 'limits', []),
    ('services', 'colour', 'red'),
    ('adapters', 'name', 'a@b'),
    ('adapters', 'priority', 1.5),
    ('adapters', 'priority', 1001),
    ('adapters', 'versions', []),
    ('adapters', 'versions', {}),
    ('adapters', 'versions', [{'version': 1}]),
    ('adapters', 'versions', [{'servable': True}]),
    ('callers', 'weight', 0),
    ('callers', 'limits', {'rate_per_s': 0}),
)


def manifest_with(section, key, value):
    copy = json.loads(json.dumps(VALID_MANIFEST))
    copy[section][0][key] = value
    return copy


def parse_faults(text):
    try:
        manifest.parse(text)
    except manifest.ManifestError as error:
        return {str(fault) for fault in error.faults}
    return set()


class LoadTest(unittest.TestCase):
    def test_defaults_are_filled_in(self):
        declared = manifest.parse(json.dumps(VALID_MANIFEST))
        self.assertEqual(
            declared.adapters[0].versions,
            (manifest.Version('1', False), manifest.Version('2', True)),
        )
        self.assertIs(declared.services[1].kind, manifest.ServiceKind.PLAIN)
        self.assertEqual(declared.callers[0].weight, 2.0)

    def test_comments_are_allowed_outside_strings(self):
        declared = manifest.parse(
            '{ // services\n "services": [/* one */{"name": "s",\n'
            '"base_model": "http://x"}]}'
        )
        self.assertEqual(declared.services[0].base_model, 'http://x')

    def test_a_fault_of_syntax_is_named_by_its_line(self):
        found = parse_faults('/* two\nlines */ {\n// more\n"services": [1 2]}')
        self.assertEqual(found, {"line 4, column 16: Expecting ',' delimiter"})

    def test_what_json_itself_cannot_hold_is_a_fault(self):
        for text in ('[' * 100_000, '{"services": [1' + '0' * 5000 + ']}'):
            self.assertEqual(len(parse_faults(text)), 1)

    def test_every_fault_is_named_at_once(self):
        found = parse_faults(
            '{"services": [{"name": "s", "base_model": "b", "x": 1, "x": 2},'
            '{"name": "t", "base_model": "b"}],'
            '"adapters": [{"name": "a", "service": "t", "versions": 1},'
            '{"name": "b", "service": "t", "versions": [{"version": "@"}]},'
            '{"name": "b", "service": "t", "versions": [{"version": "1"},'
            '{"version": "1"}]}]}'
        )
        places = {fault.split(':')[0] for fault in found}
        self.assertEqual(
            places,
            {
                'services[0].x',
                'adapters',
                'adapters[0].versions',
                'adapters[1].versions[0].version',
                'adapters[2].versions[1].version',
            },
        )
        self.assertIn('services[0].x: is given 2 times', found)

    def test_an_adapter_needs_a_declared_engine_service(self):
        for service in ('medlem-register', 'nowhere'):
            found = parse_faults(
                json.dumps(manifest_with('adapters', 'service', service))
            )
            self.assertEqual(len(found), 1, found)
            self.assertIn('adapters[0].service', found.pop())


class SchemaTest(unittest.TestCase):
    """The published schema and the parser must accept the same manifests."""

    def setUp(self):
        schema = json.loads(manifest.schema_text())
        jsonschema.Draft202012Validator.check_schema(schema)
        self.validator = jsonschema.Draft202012Validator(schema)

    def test_both_take_a_sound_manifest(self):
        self.assertTrue(self.validator.is_valid(VALID_MANIFEST))
        self.assertEqual(parse_faults(json.dumps(VALID_MANIFEST)), set())

    def test_both_refuse_each_fault_of_form(self):
        for section, key, value in SCHEMA_FAULTS:
            with self.subTest(section=section, key=key, value=value):
                given = manifest_with(section, key, value)
                self.assertFalse(self.validator.is_valid(given))
                self.assertNotEqual(parse_faults(json.dumps(given)), set())
