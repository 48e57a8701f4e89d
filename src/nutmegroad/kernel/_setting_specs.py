"""The table of settings: how each is written, checked and defaulted."""

import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from nutmegroad.foundations.types import Address

#: Reads a setting's text; raises ValueError where the text is wrong.
Reader = Callable[[str], Any]

_NAME: Final = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
_MODULE: Final = re.compile(r'[A-Za-z_]\w*(\.[A-Za-z_]\w*)*')
_HIGHEST_PORT: Final = 65535
#: Shorter keys can be guessed.
_SHORTEST_SECRET: Final = 16


@dataclass(frozen=True, slots=True)
class Spec:
    """A setting.

    Attributes:
        name: Its field in ``Settings``.
        read: Reads its text; raises ValueError where the text is wrong.
        expected: What the text has to be, as the end of a sentence.
        meaning: What it is for, one line.
        default: Text that holds where none is given; None if one must be.
        secret: It comes by the environment only and is never shown.
    """

    name: str
    read: Reader
    expected: str
    meaning: str
    default: str | None = None
    secret: bool = False

    @property
    def flag(self) -> str:
        """Return its flag."""
        return f'--{self.name}'.replace('_', '-')

    @property
    def variable(self) -> str:
        """Return its environment variable."""
        return f'NUTMEGROAD_{self.name.upper()}'


def read_name(text: str) -> str:
    """Read a name."""
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def read_listener(text: str) -> Address:
    """Read where to listen; port 0 lets the system choose."""
    ip, _, port = text.rpartition(':')
    if not re.fullmatch('[0-9]{1,5}', port):
        raise ValueError
    # Names are refused here: ``ipaddress`` takes numbers alone.
    address = Address(str(ipaddress.IPv4Address(ip)), int(port))
    if address.port > _HIGHEST_PORT:
        raise ValueError
    return address


def read_target(text: str) -> Address:
    """Read where to connect to, so neither 0.0.0.0 nor port 0 will do."""
    address = read_listener(text)
    if not address.port or ipaddress.IPv4Address(address.ip).is_unspecified:
        raise ValueError
    return address


def read_targets(text: str) -> tuple[Address, ...]:
    """Read addresses to connect to, divided by commas; none is fine."""
    if not text.strip():
        return ()
    return tuple(read_target(part.strip()) for part in text.split(','))


def read_peers(text: str) -> Address:
    """Read where to listen to hosts; others must be able to reach it."""
    address = read_listener(text)
    if ipaddress.IPv4Address(address.ip).is_unspecified:
        raise ValueError
    return address


def read_secret(text: str) -> str:
    """Read a secret."""
    if len(text) < _SHORTEST_SECRET:
        raise ValueError
    return text


def read_modules(text: str) -> tuple[str, ...]:
    """Read names of Python modules, divided by commas; none is fine."""
    names = tuple(part.strip() for part in text.split(',') if part.strip())
    if not all(_MODULE.fullmatch(name) for name in names):
        raise ValueError
    return names


def seconds(lowest: float, highest: float) -> Reader:
    """Return a reader of seconds between two bounds."""

    def factory(text: str) -> float:
        """Read seconds."""
        number = float(text)
        if not math.isfinite(number) or not lowest <= number <= highest:
            raise ValueError
        return number

    return factory


def whole(lowest: int, highest: int) -> Reader:
    """Return a reader of a whole number between two bounds."""

    def factory(text: str) -> int:
        """Read a whole number."""
        number = int(text)
        if not lowest <= number <= highest:
            raise ValueError
        return number

    return factory


def one_of(*choices: str) -> Reader:
    """Return a reader of one of some words."""

    def factory(text: str) -> str:
        """Read a word."""
        if text not in choices:
            raise ValueError
        return text

    return factory


def optional(read: Reader) -> Reader:
    """Return a reader that reads an empty text as it would no text."""

    def factory(text: str) -> Any:
        """Read a text that may be empty."""
        return read(text) if text else None

    return factory


def _seconds_spec(
    name: str,
    meaning: str,
    default: str,
    highest: int,
) -> Spec:
    """Return the spec of a time in seconds."""
    return Spec(
        name,
        seconds(0.05, highest),
        f'a number of seconds from 0.05 to {highest}',
        meaning,
        default,
    )


def _policy_spec(name: str, default: str, meaning: str) -> Spec:
    """Return the spec of a policy, which is a plug-in's name."""
    words = 'the name of a registered policy, such as'
    return Spec(name, read_name, f'{words} {default!r}', meaning, default)


_NAME_WORDS: Final = (
    'a name of small letters, digits, dots, dashes and underscores, '
    'at most 63, such as "kent-hall-2"'
)
_LISTENER_WORDS: Final = (
    'an IPv4 number and a port, such as "127.0.0.1:8080"; '
    'names of hosts are not looked up'
)
_TARGET_WORDS: Final = (
    'an IPv4 number, other than 0.0.0.0, and a port that others can reach, '
    'such as "10.0.0.7:8090"; names of hosts are not looked up'
)
_SECRET_WORDS: Final = f'at least {_SHORTEST_SECRET} characters'

SPECS: Final = (
    Spec('host', read_name, _NAME_WORDS, 'id of this host'),
    Spec('domain', read_name, _NAME_WORDS, 'failure domain of this host'),
    Spec('callers', read_listener, _LISTENER_WORDS, 'listener for callers'),
    Spec(
        'operators',
        read_listener,
        _LISTENER_WORDS,
        'listener for operators',
    ),
    Spec('peers', read_peers, _TARGET_WORDS, 'listener for other hosts'),
    Spec('platform', read_target, _TARGET_WORDS, "the platform's service"),
    Spec(
        'cluster_key',
        read_secret,
        _SECRET_WORDS,
        'secret that hosts share',
        secret=True,
    ),
    Spec(
        'cluster_key_old',
        lambda text: read_secret(text) if text else text,
        f'{_SECRET_WORDS}, or nothing',
        'another key that holds while the cluster key is changed',
        '',
        secret=True,
    ),
    Spec(
        'seeds',
        read_targets,
        'addresses divided by commas, each an IPv4 number and a port',
        'peer addresses to start from',
        '',
    ),
    Spec(
        'bootstrap_token',
        lambda text: read_secret(text) if text else text,
        f'{_SECRET_WORDS}, or nothing',
        'operator token until operators are configured',
        '',
        secret=True,
    ),
    _seconds_spec('lease', 'a confirmation holds so long', '8', 600),
    _seconds_spec('poll', 'time between reads of the head', '2', 600),
    _seconds_spec('heartbeat', 'time between heartbeats', '1', 600),
    _seconds_spec(
        'lame_duck',
        'time to go on serving after readiness has fallen',
        '1',
        600,
    ),
    _seconds_spec('drain', 'time for a graceful stop', '30', 86400),
    Spec(
        'max_body',
        whole(1024, 1 << 30),
        'a whole number of bytes from 1024 to 1073741824',
        "bytes that a caller's body may have",
        '4000000',
    ),
    _seconds_spec('body_timeout', 'time to send a body', '20', 3600),
    Spec(
        'log_format',
        one_of('text', 'json'),
        '"text" or "json"',
        'form of log lines',
        'text',
    ),
    Spec(
        'seed',
        optional(whole(0, (1 << 63) - 1)),
        'a whole number from 0 to 9223372036854775807, or nothing',
        'seed for randomness',
        '',
    ),
    _policy_spec('planner', 'adaptive', 'policy that chooses versions'),
    _policy_spec(
        'selector',
        'expected',
        'policy that chooses upstreams',
    ),
    _policy_spec('admitter', 'fair', 'policy that lets requests in'),
    _policy_spec('retries', 'share', 'policy that bounds retries'),
    _policy_spec('quarantine', 'evidence', 'policy that blocks versions'),
    Spec(
        'plugins',
        read_modules,
        'names of Python modules, divided by commas',
        'more plug-in modules to import',
        '',
    ),
)
