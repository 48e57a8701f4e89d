"""The command line ``nutmegroad``, a client of the operators' interface.

The token comes by NUTMEGROAD_TOKEN only, since others on the machine can
read a program's flags.
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
from nutmegroad.cli._cli_output import as_json
from nutmegroad.cli._cli_table import COMMANDS, Command
from nutmegroad.foundations.types import Address
from nutmegroad.kernel._setting_specs import read_targets

#: Where operators' listeners are, with commas between.
OPERATORS_VARIABLE: Final = 'NUTMEGROAD_OPERATORS'
#: Seconds that one call to a host may take, unless told otherwise.
CALL_TIMEOUT: Final = 10.0

_COMMAND: Final = 'command'


def make_parser() -> ArgumentParser:
    """Return the parser of all commands."""
    parser = ArgumentParser(
        prog='nutmegroad',
        description='Operate a deployment of nutmegroad.',
        epilog=(
            f'The token comes by {TOKEN_VARIABLE} and the hosts by '
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
        help="operators' listeners of some hosts; the first reached is asked",
    )
    parser.add_argument(
        '--format',
        choices=('text', 'json'),
        default='text',
        help='text for people, JSON for programs',
    )
    parser.add_argument(
        '--timeout',
        type=positive,
        default=CALL_TIMEOUT,
        metavar='SECONDS',
        help=f'for one call to a host; {CALL_TIMEOUT} if not given',
    )
    _add_commands(parser)
    return parser


def main(
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> int:
    """Carry one command out.

    Args:
        argv: Arguments without the program's name; None for our own.
        environ: Environment; None for our own.

    Returns:
        The exit code, see ``ExitCode``.
    """
    given = make_parser().parse_args(argv)
    command: Command = getattr(given, _COMMAND)
    variables = os.environ if environ is None else environ
    reply = asyncio.run(_run(command, given, variables))
    if isinstance(reply, Failure):
        sys.stderr.write(f'{reply.sentence}\n')
        return reply.exit_code
    shown = as_json(reply) if given.format == 'json' else command.render(reply)
    sys.stdout.write(f'{shown}\n')
    return ExitCode.OK


def _add_commands(parser: ArgumentParser) -> None:
    """Add every command, grouped by its first word."""
    top = parser.add_subparsers(required=True, metavar='COMMAND')
    groups: dict[str, Any] = {}
    for command in COMMANDS:
        first, *rest = command.words
        if not rest:
            _add_command(top.add_parser(first, help=command.meaning), command)
            continue
        if first not in groups:
            group = top.add_parser(first, help=f'{first} commands')
            groups[first] = group.add_subparsers(
                required=True,
                metavar='COMMAND',
            )
        leaf = groups[first].add_parser(rest[0], help=command.meaning)
        _add_command(leaf, command)


def _add_command(parser: ArgumentParser, command: Command) -> None:
    """Add one command's arguments."""
    parser.description = f'{command.meaning[0].upper()}{command.meaning[1:]}.'
    for argument in command.arguments:
        parser.add_argument(
            argument.name,
            help=argument.meaning,
            **dict(argument.options),
        )
    parser.set_defaults(**{_COMMAND: command})


async def _run(
    command: Command,
    given: Namespace,
    environ: Mapping[str, str],
) -> Any | Failure:
    """Carry a command out against the hosts that are named."""
    addresses: tuple[Address, ...] = ()
    # What logs tell needs no host.
    if not command.offline and not getattr(given, 'logs', None):
        found = _addresses(given, environ)
        if isinstance(found, Failure):
            return found
        addresses = found
    token = environ.get(TOKEN_VARIABLE, '')
    client = OperatorClient(
        addresses,
        token,
        given.timeout,
        # Progress goes beside the reply, which programs read.
        sys.stderr.write,
    )
    return await command.run(client, given)


def _addresses(
    given: Namespace,
    environ: Mapping[str, str],
) -> tuple[Address, ...] | Failure:
    """Return the operators' listeners that were named."""
    text = given.operators or environ.get(OPERATORS_VARIABLE, '')
    try:
        addresses = read_targets(text)
    except ValueError:
        addresses = ()
    if addresses:
        return addresses
    return Failure(
        ExitCode.USAGE,
        f'--operators (or {OPERATORS_VARIABLE}) is {text!r}; expected the '
        "operators' listeners of some hosts as IPv4 numbers with ports, "
        'such as "10.0.0.7:8081,10.0.0.8:8081".',
    )


if __name__ == '__main__':
    sys.exit(main())
