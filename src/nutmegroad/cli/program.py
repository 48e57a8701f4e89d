"""The program ``nutmegroad``, a client of the operators' interface.

The token is read from the variable NUTMEGROAD_TOKEN only, since other users
of the machine can read the flags of a process.
"""

import asyncio
import os
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Mapping, Sequence
from typing import Any, Final

from nutmegroad import __version__
from nutmegroad.cli._cli_client import (
    TOKEN_VARIABLE,
    ExitCode,
    Failure,
    OperatorClient,
)
from nutmegroad.cli._cli_numbers import positive
from nutmegroad.cli._cli_output import format_json
from nutmegroad.cli._cli_table import COMMANDS, Command
from nutmegroad.foundations.types import Address
from nutmegroad.kernel._setting_specs import parse_targets

#: Environment variable with the addresses of operators' listeners, separated
#: by commas.
OPERATORS_VARIABLE: Final = 'NUTMEGROAD_OPERATORS'
#: Default timeout of one call to a host, in seconds.
CALL_TIMEOUT: Final = 10.0

_COMMAND: Final = 'command'


def make_parser() -> ArgumentParser:
    """Return the argument parser with all commands."""
    parser = ArgumentParser(
        prog='nutmegroad',
        description='Operate a deployment of nutmegroad.',
        epilog=(
            f'The token is read from {TOKEN_VARIABLE}, the hosts from '
            f'--operators or {OPERATORS_VARIABLE}. Exit codes: '
            + ', '.join(
                f'{code.value} {code.name.lower()}' for code in ExitCode
            )
            + '.'
        ),
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'nutmegroad {__version__}',
    )
    parser.add_argument(
        '--operators',
        default='',
        metavar='IP:PORT,...',
        help=(
            "operators' listeners of some hosts; the first one that can be "
            'reached is used'
        ),
    )
    parser.add_argument(
        '--format',
        choices=('text', 'json'),
        default='text',
        help='text for people, or JSON for programs',
    )
    parser.add_argument(
        '--timeout',
        type=positive,
        default=CALL_TIMEOUT,
        metavar='SECONDS',
        help=f'timeout of one call to a host; {CALL_TIMEOUT} by default',
    )
    _add_commands(parser)
    return parser


def main(
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> int:
    """Run one command.

    Args:
        argv: Arguments without the program name; None for those of the
            process.
        environ: Environment variables; None for those of the process.

    Returns:
        The exit code, see ``ExitCode``.
    """
    args = make_parser().parse_args(argv)
    command: Command = getattr(args, _COMMAND)
    variables = os.environ if environ is None else environ
    reply = asyncio.run(_run(command, args, variables))
    if isinstance(reply, Failure):
        sys.stderr.write(f'{reply.message}\n')
        return reply.exit_code
    render = format_json if args.format == 'json' else command.render
    sys.stdout.write(f'{render(reply)}\n')
    return ExitCode.OK


def _add_commands(parser: ArgumentParser) -> None:
    """Add the parsers of all commands, grouped by their first word."""
    top = parser.add_subparsers(required=True, metavar='COMMAND')
    groups: dict[str, Any] = {}
    for command in COMMANDS:
        first, *rest = command.words
        if not rest:
            _add_command(top.add_parser(first, help=command.summary), command)
            continue
        if first not in groups:
            group = top.add_parser(first, help=f'{first} commands')
            groups[first] = group.add_subparsers(
                required=True,
                metavar='COMMAND',
            )
        leaf = groups[first].add_parser(rest[0], help=command.summary)
        _add_command(leaf, command)


def _add_command(parser: ArgumentParser, command: Command) -> None:
    """Add the arguments of one command to its parser."""
    parser.description = f'{command.summary[0].upper()}{command.summary[1:]}.'
    for argument in command.arguments:
        parser.add_argument(
            argument.name,
            help=argument.summary,
            **dict(argument.options),
        )
    parser.set_defaults(**{_COMMAND: command})


async def _run(
    command: Command,
    args: Namespace,
    environ: Mapping[str, str],
) -> Any | Failure:
    """Run a command against the hosts that were named."""
    addresses: tuple[Address, ...] = ()
    # An explanation from logs needs no host either.
    if not command.offline and not getattr(args, 'logs', None):
        parsed = _addresses(args, environ)
        if isinstance(parsed, Failure):
            return parsed
        addresses = parsed
    token = environ.get(TOKEN_VARIABLE, '')
    client = OperatorClient(
        addresses,
        token,
        args.timeout,
        # Programs read the reply from stdout, so progress goes to stderr.
        sys.stderr.write,
    )
    return await command.run(client, args)


def _addresses(
    args: Namespace,
    environ: Mapping[str, str],
) -> tuple[Address, ...] | Failure:
    """Return the addresses of the operators' listeners that were named."""
    text = args.operators or environ.get(OPERATORS_VARIABLE, '')
    try:
        addresses = parse_targets(text)
    except ValueError:
        addresses = ()
    if addresses:
        return addresses
    return Failure(
        ExitCode.USAGE,
        f'--operators (or {OPERATORS_VARIABLE}) is {text!r}; expected the '
        "operators' listeners of some hosts as IPv4 addresses with ports, "
        'such as "10.0.0.7:8081,10.0.0.8:8081".',
    )


if __name__ == '__main__':
    sys.exit(main())
