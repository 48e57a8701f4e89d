"""Settings of the daemon: flags and environment variables, all checked.

A setting ``max_body`` is given as ``--max-body`` or NUTMEGROAD_MAX_BODY; the
flag wins. Secrets come by the environment only, since others on the machine
can read a program's flags.
"""

import argparse
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Final

from nutmegroad.foundations.exceptions import SettingsError
from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.kernel._setting_specs import SPECS, Spec

_PRINT: Final = 'print_settings'


@unique
class SettingSource(Enum):
    """Whence a setting's value comes."""

    FLAG = 'flag'
    ENVIRONMENT = 'environment'
    DEFAULT = 'default'
    MISSING = 'missing'


@dataclass(frozen=True, slots=True)
class SettingOrigin:
    """A setting's value, and whence it comes.

    Attributes:
        name: The setting.
        text: The value as it was written; for a secret, whether it is set.
        source: Whence it comes.
    """

    name: str
    text: str
    source: SettingSource


@dataclass(frozen=True, slots=True)
class Settings:
    """What a host is told at start.

    Attributes:
        host: Id of this host, unique in the deployment.
        domain: Failure domain that it stands in.
        callers: Where it listens to callers.
        operators: Where it listens to operators.
        peers: Where it listens to other hosts.
        platform: Where the platform's service is.
        seeds: Peer addresses of some other hosts, to start from.
        cluster_key: Secret that hosts share; from the environment only.
        cluster_key_old: Another one that holds while the key is changed;
            from the environment only.
        bootstrap_token: Operator token that holds until a configuration
            with operators is in force; from the environment only.
        lease: Seconds for which a confirmed configuration holds.
        poll: Seconds between reads of the configuration's head.
        heartbeat: Seconds between heartbeats to peers.
        lame_duck: Seconds for which a host that stops still takes new
            work, as the balancer learns late that it is not ready.
        drain: Seconds that a graceful stop may take in all.
        max_body: Bytes that a caller's body may have.
        body_timeout: Seconds that a caller may take to send its body.
        log_format: ``text`` or ``json``.
        seed: Seed for randomness; None takes one from the system.
        planner: Policy that chooses versions.
        selector: Policy that chooses upstreams.
        admitter: Policy that lets requests in.
        retries: Policy that bounds retries.
        quarantine: Policy that blocks versions on evidence.
        plugins: More plug-in modules to import, beside our own.
        print_settings: Show the settings and stop.
    """

    host: HostId
    domain: DomainId
    callers: Address
    operators: Address
    peers: Address
    platform: Address
    cluster_key: str = field(repr=False)
    cluster_key_old: str = field(default='', repr=False)
    seeds: tuple[Address, ...] = ()
    bootstrap_token: str = field(default='', repr=False)
    lease: float = 8.0
    poll: float = 2.0
    heartbeat: float = 1.0
    lame_duck: float = 1.0
    drain: float = 30.0
    max_body: int = 4_000_000
    body_timeout: float = 20.0
    log_format: str = 'text'
    seed: int | None = None
    planner: str = 'adaptive'
    selector: str = 'expected'
    admitter: str = 'fair'
    retries: str = 'share'
    quarantine: str = 'evidence'
    plugins: tuple[str, ...] = ()
    print_settings: bool = False


@dataclass(frozen=True, slots=True)
class _Given:
    """A setting's text as it was given, secrets too; never shown whole."""

    spec: Spec
    text: str
    source: SettingSource

    def problem(self) -> str:
        """Say what is wrong with it, without showing a secret."""
        spec = self.spec
        if self.source is SettingSource.MISSING:
            by_flag = '' if spec.secret else f'{spec.flag} or '
            fault = f'is not set; set {by_flag}{spec.variable} to'
        elif spec.secret:
            fault = f'has a bad value in {spec.variable}; expected'
        else:
            label = spec.variable
            if self.source is SettingSource.FLAG:
                label = spec.flag
            fault = f'has the bad value {self.text!r} in {label}; expected'
        return f'Setting {spec.name} {fault} {spec.expected}.'

    def origin(self) -> SettingOrigin:
        """Return what may be shown of it."""
        text = self.text
        if self.spec.secret:
            text = 'set, not shown' if text else 'not set'
        return SettingOrigin(self.spec.name, text, self.source)


def read_settings(
    argv: Sequence[str],
    environ: Mapping[str, str],
) -> tuple[Settings, tuple[SettingOrigin, ...]]:
    """Read and check all settings.

    Args:
        argv: Flags, without the program's name.
        environ: Environment variables.

    Returns:
        The settings, and whence each value comes.

    Raises:
        SettingsError: If any is wrong; its message has a line for each.
    """
    flags, extras = _parser().parse_known_args(argv)
    problems = _extra_problems(extras)
    fields: dict[str, Any] = {_PRINT: getattr(flags, _PRINT)}
    texts = [_given(spec, flags, environ) for spec in SPECS]
    for given in texts:
        try:
            fields[given.spec.name] = _read(given)
        except ValueError:
            problems.append(given.problem())
    problems.extend(_cross_problems(fields))
    if problems:
        raise SettingsError('\n'.join(problems))
    return Settings(**fields), tuple(text.origin() for text in texts)


def format_settings(origins: Sequence[SettingOrigin]) -> str:
    """Return a line for each setting: its name, its value, its source."""
    width = max(len(origin.name) for origin in origins)
    return '\n'.join(
        f'{origin.name:{width}}  {origin.text}  ({origin.source.value})'
        for origin in origins
    )


def _parser() -> argparse.ArgumentParser:
    """Return a parser that leaves all judgement to the checks here."""
    parser = argparse.ArgumentParser(
        prog='nutmegroadd',
        description='The daemon of nutmegroad, a model-aware router.',
        epilog='By the environment only: '
        + ', '.join(spec.variable for spec in SPECS if spec.secret),
        allow_abbrev=False,
    )
    parser.add_argument(
        '--print-settings',
        action='store_true',
        help='show each setting and whence it comes, and stop',
    )
    for spec in SPECS:
        if not spec.secret:
            # A flag without a value reads as an empty one, so that it is
            # reported together with all other problems.
            parser.add_argument(
                spec.flag,
                nargs='?',
                const='',
                help=f'{spec.meaning} ({spec.variable})',
            )
    return parser


def _given(
    spec: Spec,
    flags: argparse.Namespace,
    environ: Mapping[str, str],
) -> _Given:
    """Find a setting's text: by flag, else by environment, else default."""
    by_flag = getattr(flags, spec.name, None)
    if by_flag is not None:
        return _Given(spec, by_flag, SettingSource.FLAG)
    text = environ.get(spec.variable)
    if text is not None:
        return _Given(spec, text, SettingSource.ENVIRONMENT)
    if spec.default is None:
        return _Given(spec, '', SettingSource.MISSING)
    return _Given(spec, spec.default, SettingSource.DEFAULT)


def _read(given: _Given) -> Any:
    """Read a text.

    Raises:
        ValueError: If it is wrong or missing.
    """
    if given.source is SettingSource.MISSING:
        raise ValueError
    return given.spec.read(given.text)


def _extra_problems(extras: Sequence[str]) -> list[str]:
    """Say what is wrong with arguments that no flag takes.

    What follows an unknown flag is not shown: it may be a secret.
    """
    secrets = {spec.flag: spec.variable for spec in SPECS if spec.secret}
    problems = []
    after_flag = False
    for extra in extras:
        flag, equals, _ = extra.partition('=')
        variable = secrets.get(flag)
        if variable:
            problems.append(
                f'A secret may not be given by the flag {flag}; '
                f'set {variable}.',
            )
        elif extra.startswith('-'):
            problems.append(f'There is no flag {flag}; --help lists them.')
        elif not after_flag:
            problems.append(f'The argument {extra!r} belongs to no flag.')
        after_flag = extra.startswith('-') and not equals
    return problems


def _cross_problems(fields: Mapping[str, Any]) -> list[str]:
    """Say which settings do not go together, of those that were read."""
    problems = [
        f'Setting {shorter} has the bad value {fields[shorter]:g}; expected '
        f'less than half of lease, which is {fields["lease"]:g}.'
        for shorter in ('poll', 'heartbeat')
        if {shorter, 'lease'} <= fields.keys()
        and fields[shorter] * 2 >= fields['lease']
    ]
    seen: dict[Address | None, str] = {}
    for name in ('callers', 'operators', 'peers'):
        address = fields.get(name)
        other = seen.get(address)
        if other:
            problems.append(
                f'Setting {name} has the bad value {address}; expected an '
                f'address of its own, since {other} has this one.',
            )
        if address is not None and address.port:
            seen[address] = name
    return problems
