"""Definitions of the commands of the command line and their arguments."""

from dataclasses import dataclass
from typing import Any, Final

from nutmegroad.cli._cli_commands import (
    CommandFunction,
    apply,
    check,
    diff,
    drain,
    explain,
    format_progress,
    get_resource,
    prepare,
    rollout,
    set_workspace,
    switch,
    withdraw,
)
from nutmegroad.cli._cli_numbers import positive
from nutmegroad.cli._cli_output import (
    Renderer,
    format_configuration,
    format_explanation,
    format_fields,
    format_history,
    format_rollouts,
    format_status,
    table_renderer,
)


@dataclass(frozen=True, slots=True)
class Argument:
    """An argument of a command.

    Attributes:
        name: Flag, or name of a positional argument.
        summary: Description in one line for ``--help``.
        options: Additional keyword arguments of ``add_argument``.
    """

    name: str
    summary: str
    options: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Command:
    """A command of the command line.

    Attributes:
        words: Words that select the command, such as ``preset switch``.
        summary: Description in one line for ``--help``.
        run: Runs the command.
        render: Formats the reply as text for people.
        arguments: Arguments of the command.
        offline: Whether the command runs without a host.
    """

    words: tuple[str, ...]
    summary: str
    run: CommandFunction
    render: Renderer = format_fields
    arguments: tuple[Argument, ...] = ()
    offline: bool = False


_WAIT: Final = Argument(
    '--wait',
    'seconds to wait until every host has acknowledged the change',
    (('type', positive), ('metavar', 'SECONDS')),
)
_EXPECTED: Final = Argument(
    '--expected',
    'refuse the change unless this revision is in force',
    (('type', int), ('metavar', 'REVISION')),
)
_DOCUMENT: Final = Argument('file', 'the document, in TOML')
_PRESET: Final = Argument('preset', 'name of the preset')
_VERSION: Final = Argument('version', 'the version, as model@version')
_WORKSPACE: Final = Argument('workspace', 'name of the workspace')

COMMANDS: Final = (
    Command(
        ('config', 'check'),
        'validate a document without a host',
        check,
        arguments=(_DOCUMENT,),
        offline=True,
    ),
    Command(
        ('config', 'show'),
        'show the configuration in force',
        get_resource('configuration'),
        format_configuration,
    ),
    Command(
        ('config', 'history'),
        'show the most recent changes',
        get_resource('configuration/history'),
        format_history,
    ),
    Command(
        ('config', 'diff'),
        'list what a document would change',
        diff,
        table_renderer('subject', 'sentence'),
        (_DOCUMENT,),
    ),
    Command(
        ('config', 'apply'),
        'validate a document and put it into force',
        apply,
        format_progress,
        (
            _DOCUMENT,
            Argument('--preset', 'the preset to put into force with it'),
            _EXPECTED,
            _WAIT,
        ),
    ),
    Command(
        ('preset', 'list'),
        'list the presets',
        get_resource('presets'),
        table_renderer('name', 'in_force'),
    ),
    Command(
        ('preset', 'show'),
        'show a preset',
        get_resource('presets/{preset}', 'preset'),
        arguments=(_PRESET,),
    ),
    Command(
        ('preset', 'switch'),
        'put another preset into force',
        switch,
        format_progress,
        (_PRESET, _EXPECTED, _WAIT),
    ),
    Command(
        ('preset', 'prepare'),
        'load the versions of a preset before it is put into force',
        prepare,
        arguments=(_PRESET,),
    ),
    Command(
        ('version', 'rollout'),
        'start, pause, resume or abort a rollout, or lift quarantines',
        rollout,
        format_rollouts,
        (
            _VERSION,
            Argument(
                'action',
                'the action to take',
                (('choices', ('start', 'pause', 'resume', 'abort', 'lift')),),
            ),
        ),
    ),
    Command(
        ('version', 'status'),
        'show the rollouts with the reasons of their steps, and quarantines',
        get_resource('rollouts'),
        format_rollouts,
    ),
    Command(
        ('version', 'withdraw'),
        'permanently stop sending new requests to a version',
        withdraw,
        format_progress,
        (_VERSION, _WAIT),
    ),
    Command(
        ('version', 'withdrawals'),
        'list the withdrawn versions, and whether each is in the table',
        get_resource('withdrawals'),
        table_renderer('version', 'epoch', 'in_table', 'state'),
    ),
    Command(
        ('workspace', 'list'),
        'list the workspaces',
        get_resource('workspaces'),
        table_renderer('name', 'share', 'concern', 'isolation', 'versions'),
    ),
    Command(
        ('workspace', 'show'),
        'show a workspace',
        get_resource('workspaces/{workspace}', 'workspace'),
        arguments=(_WORKSPACE,),
    ),
    Command(
        ('workspace', 'set'),
        'change fields of a workspace',
        set_workspace,
        format_progress,
        (
            _WORKSPACE,
            Argument(
                '--share',
                'its weight when capacity is short',
                (('type', positive),),
            ),
            Argument(
                '--concern',
                'the measure that matters most to it',
                (('choices', ('cost', 'latency', 'exposure')),),
            ),
            Argument(
                '--isolation',
                'whether an isolated host serves or refuses its requests',
                (('choices', ('serve', 'refuse')),),
            ),
            Argument(
                '--versions', 'versions that it may use, separated by commas'
            ),
            Argument(
                '--key-file',
                "a file with its callers' new key; the previous key stays "
                'valid as well',
            ),
            Argument(
                '--drop-old-key',
                'make only the newest key valid',
                (('action', 'store_true'),),
            ),
            _EXPECTED,
            _WAIT,
        ),
    ),
    Command(
        ('host', 'list'),
        'list the hosts that the queried host knows',
        get_resource('hosts'),
        table_renderer('host', 'domain', 'presence', 'address', 'heard'),
    ),
    Command(
        ('host', 'drain'),
        'stop a host gracefully, without interrupting requests',
        drain,
        arguments=(Argument('host', 'id of the host'),),
    ),
    Command(
        ('upstream', 'list'),
        'list the upstreams that the queried host knows',
        get_resource('upstreams'),
        table_renderer(
            'upstream', 'domain', 'kind', 'presence', 'in_flight', 'versions'
        ),
    ),
    Command(
        ('explain',),
        'show what happened to a request, and why',
        explain,
        format_explanation,
        (
            Argument('request', 'id of the request'),
            Argument(
                '--logs',
                'log files of the hosts, read instead of querying a host',
                (('nargs', '+'), ('metavar', 'FILE')),
            ),
        ),
    ),
    Command(
        ('status',),
        'show the status of a host, and conditions that impair it',
        get_resource('status'),
        format_status,
    ),
)
