"""The table of the command line's commands and their arguments."""

from dataclasses import dataclass
from typing import Any, Final

from nutmegroad.cli._cli_commands import (
    Run,
    apply,
    check,
    diff,
    drain,
    explain,
    prepare,
    reading,
    rollout,
    set_workspace,
    show_progress,
    switch,
    withdraw,
)
from nutmegroad.cli._cli_numbers import positive
from nutmegroad.cli._cli_output import (
    Renderer,
    configuration,
    explanation,
    fields,
    history,
    rollouts,
    status,
    table,
)


@dataclass(frozen=True, slots=True)
class Argument:
    """An argument of a command.

    Attributes:
        name: A flag, or a positional argument's name.
        meaning: One line for ``--help``.
        options: More keywords for argparse.
    """

    name: str
    meaning: str
    options: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Command:
    """A command.

    Attributes:
        words: Its words, such as ``preset switch``.
        meaning: One line for ``--help``.
        run: Carries it out.
        render: Prints its reply for people.
        arguments: Its arguments.
        offline: It needs no host.
    """

    words: tuple[str, ...]
    meaning: str
    run: Run
    render: Renderer = fields
    arguments: tuple[Argument, ...] = ()
    offline: bool = False


_WAIT: Final = Argument(
    '--wait',
    'seconds to wait until every host has acknowledged the change',
    (('type', positive), ('metavar', 'SECONDS')),
)
_EXPECTED: Final = Argument(
    '--expected',
    'refuse the change if another revision than this is in force',
    (('type', int), ('metavar', 'REVISION')),
)
_DOCUMENT: Final = Argument('file', 'the document, as TOML')
_PRESET: Final = Argument('preset', "the preset's name")
_VERSION: Final = Argument('version', 'the version, as model@version')
_WORKSPACE: Final = Argument('workspace', "the workspace's name")

COMMANDS: Final = (
    Command(
        ('config', 'check'),
        'check a document without a host',
        check,
        arguments=(_DOCUMENT,),
        offline=True,
    ),
    Command(
        ('config', 'show'),
        'show the configuration in force',
        reading('configuration'),
        configuration,
    ),
    Command(
        ('config', 'history'),
        'show the newest changes',
        reading('configuration/history'),
        history,
    ),
    Command(
        ('config', 'diff'),
        'say what a document would change',
        diff,
        table('subject', 'sentence'),
        (_DOCUMENT,),
    ),
    Command(
        ('config', 'apply'),
        'check a document and put it into force',
        apply,
        show_progress,
        (
            _DOCUMENT,
            Argument('--preset', 'the preset to be in force with it'),
            _EXPECTED,
            _WAIT,
        ),
    ),
    Command(
        ('preset', 'list'),
        'list the presets',
        reading('presets'),
        table('name', 'in_force'),
    ),
    Command(
        ('preset', 'show'),
        'show a preset',
        reading('presets/{preset}', 'preset'),
        arguments=(_PRESET,),
    ),
    Command(
        ('preset', 'switch'),
        'put another preset into force',
        switch,
        show_progress,
        (_PRESET, _EXPECTED, _WAIT),
    ),
    Command(
        ('preset', 'prepare'),
        "have a preset's versions loaded before it is put into force",
        prepare,
        arguments=(_PRESET,),
    ),
    Command(
        ('version', 'rollout'),
        'start, pause, resume or abort a roll-out, or lift a quarantine',
        rollout,
        rollouts,
        (
            _VERSION,
            Argument(
                'action',
                'what to do',
                (('choices', ('start', 'pause', 'resume', 'abort', 'lift')),),
            ),
        ),
    ),
    Command(
        ('version', 'status'),
        'show the roll-outs and their evidence',
        reading('rollouts'),
        rollouts,
    ),
    Command(
        ('version', 'withdraw'),
        'give a version no new work, from now on and for good',
        withdraw,
        show_progress,
        (_VERSION, _WAIT),
    ),
    Command(
        ('version', 'withdrawals'),
        'list the withdrawn versions, and whether the table has each',
        reading('withdrawals'),
        table('version', 'epoch', 'in_table', 'state'),
    ),
    Command(
        ('workspace', 'list'),
        'list the workspaces',
        reading('workspaces'),
        table('name', 'share', 'concern', 'isolation', 'versions'),
    ),
    Command(
        ('workspace', 'show'),
        'show a workspace',
        reading('workspaces/{workspace}', 'workspace'),
        arguments=(_WORKSPACE,),
    ),
    Command(
        ('workspace', 'set'),
        'change fields of a workspace',
        set_workspace,
        show_progress,
        (
            _WORKSPACE,
            Argument('--share', 'its weight', (('type', positive),)),
            Argument(
                '--concern',
                'the measure that it weighs most',
                (('choices', ('cost', 'latency', 'exposure')),),
            ),
            Argument(
                '--isolation',
                'what it gets from an isolated host',
                (('choices', ('serve', 'refuse')),),
            ),
            Argument('--versions', 'versions that it may use, with commas'),
            Argument(
                '--key-file',
                "a file that holds its callers' new key; the key before "
                'holds on beside it',
            ),
            Argument(
                '--drop-old-key',
                'have only the newest key hold',
                (('action', 'store_true'),),
            ),
            _EXPECTED,
            _WAIT,
        ),
    ),
    Command(
        ('host', 'list'),
        'list the hosts, as one host sees them',
        reading('hosts'),
        table('host', 'domain', 'presence', 'address', 'heard'),
    ),
    Command(
        ('host', 'drain'),
        'have a host stop gracefully: no request is cut',
        drain,
        arguments=(Argument('host', "the host's id"),),
    ),
    Command(
        ('upstream', 'list'),
        'list the upstreams, as one host sees them',
        reading('upstreams'),
        table(
            'upstream', 'domain', 'kind', 'presence', 'in_flight', 'versions'
        ),
    ),
    Command(
        ('explain',),
        'tell what happened to a request and why',
        explain,
        explanation,
        (
            Argument('request', "the request's id"),
            Argument(
                '--logs',
                'log files of the hosts, read in place of asking one',
                (('nargs', '+'), ('metavar', 'FILE')),
            ),
        ),
    ),
    Command(
        ('status',),
        'show how a host stands, and what keeps it from serving',
        reading('status'),
        status,
    ),
)
