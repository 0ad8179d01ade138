"""The table of commands; a new command needs one entry here."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Command:
    """A command of the program and the module that implements it.

    ``name`` is one word, or two for a command of a group. The module at
    ``module`` has ``EXAMPLE`` (a command line shown by ``--help``),
    ``add_arguments(parser)`` and ``run(arguments) -> int``.
    """

    name: str
    module: str
    help: str

    @property
    def words(self) -> tuple[str, ...]:
        return tuple(self.name.split())


COMMANDS = (
    Command(
        'gateway',
        'berylhollow.ui.gateway_command',
        'serve callers and route their requests',
    ),
    Command(
        'sidecar',
        'berylhollow.ui.sidecar_command',
        'serve beside an endpoint, between it and the gateways',
    ),
    Command(
        'report',
        'berylhollow.ui.report_command',
        'report on service-level burn from logs',
    ),
    Command(
        'replay',
        'berylhollow.ui.replay_command',
        'run a trace on a virtual clock, or against live gateways',
    ),
    Command(
        'settings',
        'berylhollow.ui.settings_command',
        'list every setting with its default, unit and meaning',
    ),
    Command(
        'stand-in platform',
        'berylhollow.ui.standin_platform',
        'serve a small stand-in of the platform',
    ),
    Command(
        'stand-in engine',
        'berylhollow.ui.standin_engine',
        'serve a small stand-in of a model engine',
    ),
    Command(
        'stand-in service',
        'berylhollow.ui.standin_service',
        'serve a small stand-in of a plain service',
    ),
    Command(
        'validate',
        'berylhollow.ui.validate_command',
        'check a manifest and name every fault',
    ),
    Command(
        'plan',
        'berylhollow.ui.plan_command',
        'show what publishing a manifest would change',
    ),
    Command(
        'publish',
        'berylhollow.ui.publish_command',
        'bring a manifest into force as one change',
    ),
    Command(
        'settle',
        'berylhollow.ui.settle_command',
        'tell what became of a change whose answer was lost',
    ),
    Command(
        'status',
        'berylhollow.ui.status_command',
        'show which processes run which revision',
    ),
    Command(
        'quarantine list',
        'berylhollow.ui.quarantine_list_command',
        'show the requests that are suspect of crashing endpoints',
    ),
    Command(
        'quarantine lift',
        'berylhollow.ui.quarantine_lift_command',
        'let a request run again',
    ),
)

GROUPS = {
    'quarantine': 'see and lift the quarantine of requests',
    'stand-in': 'run a stand-in of the platform, an engine or a service',
}
