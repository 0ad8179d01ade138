"""Builders of the platform's documents and records for tests."""

import dataclasses
import json
import pathlib
import tempfile

from berylhollow import platform
from berylhollow import routes

HOST = 'ficu95.example'
MODEL_SERVICE = 'huvo11a'
PLAIN_SERVICE = 'wuno96b'
MODEL = 'daka510000'

NODE_FILE = """
Node = "front-sal-kista-1"
Zone = "sal-kista"
Region = "svealand"
Ip = "127.0.0.1"
PortRange = [7380, 7395]
Bootstrap = true
HeartbeatMs = 1200
app = "127.0.0.1:8145"
Service = "huvo11a"
[Listen]
Front = "127.0.0.1:8149"
Ready = "127.0.0.1:8141"
[Bounds]
GraceS = 8
DrainMs = 2000
ContactMs = 3000
RetryRatio = 0.2
RetrySlack = 54
BudgetWindowS = 10
SomethingNew = "ignored"
[Platform]
Address = "127.0.0.1:8142"
"""


def node(**changes):
    """Return the description of a gateway process, from a node file."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'node.toml'
        path.write_text(NODE_FILE, encoding='utf-8')
        loaded = platform.load(path, serves_callers=True)
    return dataclasses.replace(loaded, **changes)


def route(name='r-1', prefix='/lohu930/', **changes):
    values = {
        'Name': name,
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': 'stream',
        'TimeoutMs': 5000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'Service': MODEL_SERVICE,
        'MaxAttempts': 1,
        'StickySessions': True,
        'Resumable': False,
        'GapTargetMs': 400,
    }
    return values | changes


def plain_route(name='r-2', prefix='/puxa403/', **changes):
    values = {
        'Kind': 'unsafe',
        'Service': PLAIN_SERVICE,
        'TimeoutMs': 1500,
        'TargetLatencyMs': 300,
        'Priority': 2,
    }
    return route(name, prefix, **(values | changes))


def workspace(name='hule930', *keys, **changes):
    """Return a workspace; without keys no caller can use it."""
    return {'Name': name, 'ApiKeys': list(keys)} | changes


def quota(rate_per_s, burst=None, **changes):
    """Return the fields of a workspace with a quota of tokens."""
    values = {
        'Unit': 'tokens',
        'PlainTokens': 200,
        'RatePerS': rate_per_s,
        'Burst': rate_per_s if burst is None else burst,
    }
    return values | changes


def configuration(version=7, routes=None, workspaces=None, engine=None):
    """Return routes and services; ``engine`` has its further fields."""
    declared = {} if workspaces is None else {'Tenants': workspaces}
    return declared | {
        'Version': version,
        'Routes': [route(), plain_route()] if routes is None else routes,
        'Services': [
            {
                'Name': MODEL_SERVICE,
                'MaxConns': 360,
                'Engine': {
                    'Slots': 64,
                    'AdapterSlots': 6,
                    'Models': [{'Name': MODEL, 'Adapters': 3000}],
                }
                | (engine or {}),
            },
            {'Name': PLAIN_SERVICE, 'MaxConns': 100},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def entry(address='127.0.0.1:9', service=MODEL_SERVICE, **changes):
    values = {
        'Service': service,
        'Address': address,
        'Zone': 'sal-kista',
        'Version': 'v1',
        'Slots': 64,
        'State': 'ready',
        'Models': [{'Name': MODEL, 'Version': 1, 'Adapters': ['a3@1']}],
        'Seq': 4,
    }
    return values | changes


def keyed(key, value):
    """Return a keyed record; a value of None deletes the key."""
    data = b'' if value is None else json.dumps(value).encode()
    name = key.encode()
    return bytes([len(name)]) + name + data


def configuration_record(version=7, **changes):
    return keyed('config', configuration(version, **changes))


def version_record(adapter='a3', version=2):
    value = {'Model': MODEL, 'Adapter': adapter, 'Version': version}
    return keyed(f'version/{MODEL}.{adapter}', value)


def adapter_name(adapter='a3'):
    return f'{MODEL}{routes.ADAPTER_SEPARATOR}{adapter}'
