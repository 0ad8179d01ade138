"""Builders of configuration records."""

from berylhollow import configuration
from berylhollow import manifest

SERVICE = 'vaxel-ai'
PLAIN_SERVICE = 'medlem-register'
RULE_AT = 4
RULE_1_DIGEST = (
    '3d97c9a89312dc69bd8b642980607e613ec8ce39c397162e717bd1d57eeb267d'
)
RULE_1_RECORDS = (
    (
        '626863660001789c6b656648ca2f482dcfc8cf49fddac9989f9b9a92939aab5b949a'
        '9e595c925a945a9093989997f0e5b7fd0706308033be7deb64cc284bac48cdd14dcc'
        '4c4bcd4bcfcc4b4d494a2c4ec5aab6952929d110ae9ca1a929d1f06b53727e5ada17'
        '0066b53100'
    ),
    (
        '626863660001789c6b65664cca2f484d49cd2949fcd2c998546c94969a979e99979a'
        '9ca46ff4f5b7030b0318fcb6ff0061b0feb6ff0161b532a76597e6a5e81bfe768008'
        '307cfb6dff002ac794946804344b92f9455353a2e1d7a60c233d03dda2e478c3af00'
        'ce8322b4'
    ),
    '626863660001789c6b65644aca2f482b4acdcd2f4bfdd2a49894680800453f0749',
    '626863660001789c6b65644aca2f48c9492c49fdd2a4989468040036830660',
    (
        '626863660001789c6b65644eca2f48cfcc2b4bccc94cf9d2ca9494689c519658919a'
        'a39b9829c9fcb2b129d1f02b0007b70e98'
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
    """Return a manifest of two services, sorted by name, and adapters."""
    return manifest.Manifest(
        services=(
            manifest.Service(PLAIN_SERVICE, manifest.ServiceKind.PLAIN),
            manifest.Service(SERVICE, base_model='base'),
        ),
        adapters=tuple(adapter(name) for name in names),
    )


def whole(base=0, change_id='whole'):
    """Return a record of ``a1`` with version 1 and one not servable."""
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
    """Return the record with another rule number."""
    number = rule.to_bytes(2, 'big')
    return record[:RULE_AT] + number + record[RULE_AT + 2 :]


def rule_1_records():
    """Return records whose verdicts by rule 1 must never change."""
    return [bytes.fromhex(record) for record in RULE_1_RECORDS]
