"""Specifications of all settings: parsers, defaults and descriptions."""

import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from nutmegroad.foundations.types import Address

#: Parses the text of a setting; raises ValueError if the text is invalid.
Parser = Callable[[str], Any]

_NAME: Final = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
_MODULE: Final = re.compile(r'[A-Za-z_]\w*(\.[A-Za-z_]\w*)*')
_MAX_PORT: Final = 65535
#: Minimum length; shorter secrets can be guessed.
_MIN_SECRET_LENGTH: Final = 16


@dataclass(frozen=True, slots=True)
class Spec:
    """The specification of a setting.

    Attributes:
        name: Name of the field in ``Settings``.
        parse: Parses the text; raises ValueError if the text is invalid.
        expected: Description of a valid text, as the end of a sentence.
        description: Description of the setting, in one line.
        default: Text that is used if none is given; None if the setting is
            required.
        secret: Whether it is read from the environment only and never shown.
    """

    name: str
    parse: Parser
    expected: str
    description: str
    default: str | None = None
    secret: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return f'--{self.name}'.replace('_', '-')

    @property
    def variable(self) -> str:
        """The environment variable."""
        return f'NUTMEGROAD_{self.name.upper()}'


def parse_name(text: str) -> str:
    """Parse a name."""
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def parse_listener(text: str) -> Address:
    """Parse an address to listen on; port 0 lets the system choose one."""
    ip, _, port = text.rpartition(':')
    if not re.fullmatch('[0-9]{1,5}', port):
        raise ValueError
    # Rejects host names: ``ipaddress`` accepts numeric addresses only.
    address = Address(str(ipaddress.IPv4Address(ip)), int(port))
    if address.port > _MAX_PORT:
        raise ValueError
    return address


def parse_target(text: str) -> Address:
    """Parse an address to connect to; rejects 0.0.0.0 and port 0."""
    address = parse_listener(text)
    if not address.port or ipaddress.IPv4Address(address.ip).is_unspecified:
        raise ValueError
    return address


def parse_targets(text: str) -> tuple[Address, ...]:
    """Parse comma-separated addresses to connect to; may be empty."""
    if not text.strip():
        return ()
    return tuple(parse_target(part.strip()) for part in text.split(','))


def parse_peer_listener(text: str) -> Address:
    """Parse the listen address for peers.

    Peers connect to this address, so 0.0.0.0 is rejected.
    """
    address = parse_listener(text)
    if ipaddress.IPv4Address(address.ip).is_unspecified:
        raise ValueError
    return address


def parse_secret(text: str) -> str:
    """Parse a secret."""
    if len(text) < _MIN_SECRET_LENGTH:
        raise ValueError
    return text


def parse_modules(text: str) -> tuple[str, ...]:
    """Parse comma-separated names of Python modules; may be empty."""
    names = tuple(part.strip() for part in text.split(',') if part.strip())
    if not all(_MODULE.fullmatch(name) for name in names):
        raise ValueError
    return names


def bounded_seconds(minimum: float, maximum: float) -> Parser:
    """Return a parser of a number of seconds between two bounds."""

    def parse(text: str) -> float:
        """Parse a number of seconds."""
        number = float(text)
        if not math.isfinite(number) or not minimum <= number <= maximum:
            raise ValueError
        return number

    return parse


def bounded_int(minimum: int, maximum: int) -> Parser:
    """Return a parser of an integer between two bounds."""

    def parse(text: str) -> int:
        """Parse an integer."""
        number = int(text)
        if not minimum <= number <= maximum:
            raise ValueError
        return number

    return parse


def one_of(*choices: str) -> Parser:
    """Return a parser that accepts one of the given words."""

    def parse(text: str) -> str:
        """Parse one of the words."""
        if text not in choices:
            raise ValueError
        return text

    return parse


def optional(parser: Parser) -> Parser:
    """Return a parser that reads an empty text as None."""

    def parse(text: str) -> Any:
        """Parse a text that may be empty."""
        return parser(text) if text else None

    return parse


def _seconds_spec(
    name: str,
    description: str,
    default: str,
    maximum: int,
) -> Spec:
    """Return the specification of a time in seconds."""
    return Spec(
        name,
        bounded_seconds(0.05, maximum),
        f'a number of seconds from 0.05 to {maximum}',
        description,
        default,
    )


def _policy_spec(name: str, default: str, description: str) -> Spec:
    """Return the specification of a policy, given as the name of a plug-in."""
    expected = f'the name of a registered policy, such as {default!r}'
    return Spec(name, parse_name, expected, description, default)


_NAME_FORMAT: Final = (
    'a name of at most 63 lowercase letters, digits, dots, hyphens and '
    'underscores, such as "kent-hall-2"'
)
_LISTENER_FORMAT: Final = (
    'an IPv4 address and a port, such as "127.0.0.1:8080"; '
    'host names are not resolved'
)
_TARGET_FORMAT: Final = (
    'an IPv4 address, other than 0.0.0.0, and a port that others can reach, '
    'such as "10.0.0.7:8090"; host names are not resolved'
)
_SECRET_FORMAT: Final = f'at least {_MIN_SECRET_LENGTH} characters'

SPECS: Final = (
    Spec('host', parse_name, _NAME_FORMAT, 'id of this host'),
    Spec('domain', parse_name, _NAME_FORMAT, 'failure domain of this host'),
    Spec('callers', parse_listener, _LISTENER_FORMAT, 'listener for callers'),
    Spec(
        'operators',
        parse_listener,
        _LISTENER_FORMAT,
        'listener for operators',
    ),
    Spec(
        'peers', parse_peer_listener, _TARGET_FORMAT, 'listener for other hosts'
    ),
    Spec('platform', parse_target, _TARGET_FORMAT, "the platform's service"),
    Spec(
        'cluster_key',
        parse_secret,
        _SECRET_FORMAT,
        'secret that all hosts share',
        secret=True,
    ),
    Spec(
        'cluster_key_old',
        lambda text: parse_secret(text) if text else text,
        f'{_SECRET_FORMAT}, or nothing',
        'second key that is accepted while the cluster key is rotated',
        '',
        secret=True,
    ),
    Spec(
        'seeds',
        parse_targets,
        'comma-separated addresses, each an IPv4 address and a port',
        'peer addresses for joining the mesh',
        '',
    ),
    Spec(
        'bootstrap_token',
        lambda text: parse_secret(text) if text else text,
        f'{_SECRET_FORMAT}, or nothing',
        'operator token until operators are configured',
        '',
        secret=True,
    ),
    _seconds_spec(
        'lease', 'validity of a configuration confirmation', '8', 600
    ),
    _seconds_spec(
        'poll', 'time between reads of the configuration head', '2', 600
    ),
    _seconds_spec('heartbeat', 'time between heartbeats', '1', 600),
    _seconds_spec(
        'lame_duck',
        'time for which a stopping host still accepts requests',
        '1',
        600,
    ),
    _seconds_spec('drain', 'maximum time for a graceful stop', '30', 86400),
    Spec(
        'max_body',
        bounded_int(1024, 1 << 30),
        'a whole number of bytes from 1024 to 1073741824',
        "maximum size of a caller's request body, in bytes",
        '4000000',
    ),
    Spec(
        'memory_mb',
        bounded_int(64, 1 << 20),
        'a whole number of megabytes from 64 to 1048576',
        'memory that the process may use in all, in MB',
        '300',
    ),
    _seconds_spec(
        'body_timeout',
        'time within which a caller must send its body',
        '20',
        3600,
    ),
    Spec(
        'log_format',
        one_of('text', 'json'),
        '"text" or "json"',
        'format of log lines',
        'text',
    ),
    Spec(
        'seed',
        optional(bounded_int(0, (1 << 63) - 1)),
        'a whole number from 0 to 9223372036854775807, or nothing',
        'random seed',
        '',
    ),
    _policy_spec('planner', 'adaptive', 'policy that chooses versions'),
    _policy_spec(
        'selector',
        'expected',
        'policy that chooses upstreams',
    ),
    _policy_spec('admitter', 'fair', 'policy that admits requests'),
    _policy_spec('retries', 'share', 'policy that limits retries'),
    _policy_spec('quarantine', 'evidence', 'policy that blocks versions'),
    Spec(
        'plugins',
        parse_modules,
        'comma-separated names of Python modules',
        'additional plug-in modules to import',
        '',
    ),
)
