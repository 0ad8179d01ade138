"""Builders of configuration records."""

from berylhollow import configuration
from berylhollow import manifest

SERVICE = 'vaxel-ai'
PLAIN_SERVICE = 'medlem-register'
RULE_AT = 4
RULE_1_DIGEST = (
    '3c239c5f221743565fdd666cc3db528abd507db7ad66abc247809c29b546bb49'
)
RULE_1_RECORDS = (
    (
        '626863660001789c6b6548ca2f482dcfc8cf496d6eea64cccf4d4dc949cdd52d4a4d'
        'cf2c2e492d4a2dc849cccc4bf8f2dbfe030318c019dfbe753266942556a4e6e82666'
        'a6a5e6a567e6a5a6242516a76255dbd8ca9494680857cfd0d49468f8b529393f2ded'
        '4b4303000987328e'
    ),
    (
        '626863660001789c6b654cca2f484d49cd2949fcd6dcc998546c94969a979e99979a'
        '9ca46ff4f5b7030b0318fcb6ff0061b0feb6ff0161b532a76597e6a5e81bfe768008'
        '307cfb6dff002ac794946804344b92f9455353a2e1d7a60c233d03dda2e478c3af00'
        '06622336'
    ),
    '626863660001789c6b654aca2f482b4acdcd2f4bfdd6d8a498946808004d6c07cb',
    '626863660001789c6b654aca2f48c9492c49fdd6d8a498946804003dc806e2',
    (
        '626863660001789c6b654eca2f48cfcc2b4bccc94cf9d6d8ca9494689c519658919a'
        'a39b9829c9fcb2b129d1f02b0018e00f1a'
    ),
    '6a756e6b',
)


def adapter(name='a1', service=SERVICE, versions='1', priority=0):
    return manifest.Adapter(
        name,
        service,
        priority,
        tuple(manifest.Version(version) for version in versions),
    )


def declared(*names):
    """A manifest of two services and adapters, sorted by name."""
    return manifest.Manifest(
        services=(
            manifest.Service(PLAIN_SERVICE, manifest.ServiceKind.PLAIN),
            manifest.Service(SERVICE, base_model='base'),
        ),
        adapters=tuple(adapter(name) for name in names),
    )


def whole(base=0, change_id='whole'):
    """A record that declares adapter ``a1`` with version 1 and one off."""
    first = manifest.Adapter(
        'a1',
        SERVICE,
        0,
        (manifest.Version('1'), manifest.Version('off', False)),
    )
    everything = manifest.Manifest(declared().services, (first,))
    return configuration.encode_change(
        configuration.Change(base, 'op', change_id, whole=everything)
    )


def put(name='a1', **fields):
    return configuration.Put(adapter(name, **fields))


def remove(name='a1'):
    return configuration.Remove(configuration.EntityKind.ADAPTER, name)


def remove_service(name=SERVICE):
    return configuration.Remove(configuration.EntityKind.SERVICE, name)


def change(base, change_id='c', *deltas, operator='op'):
    return configuration.encode_change(
        configuration.Change(base, operator, change_id, deltas)
    )


def with_rule(record, rule):
    """The record, asking to be judged by another rule."""
    number = rule.to_bytes(2, 'big')
    return record[:RULE_AT] + number + record[RULE_AT + 2 :]


def rule_1_records():
    """Records whose verdicts by rule 1 must never change."""
    return [bytes.fromhex(record) for record in RULE_1_RECORDS]
