"""Settings of the daemon, read from flags and environment variables.

The setting ``max_body`` is given as ``--max-body`` or NUTMEGROAD_MAX_BODY; the
flag takes precedence. Secrets are read from the environment only, since other
users of the machine can see the flags of a process.
"""

import argparse
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Final

from nutmegroad.foundations.exceptions import SettingsError
from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.kernel._setting_specs import SPECS, Spec

_PRINT_SETTINGS: Final = 'print_settings'


@unique
class SettingSource(Enum):
    """Where the value of a setting comes from."""

    FLAG = 'flag'
    ENVIRONMENT = 'environment'
    DEFAULT = 'default'
    MISSING = 'missing'


@dataclass(frozen=True, slots=True)
class SettingOrigin:
    """The value of a setting and its source, safe to be shown.

    Attributes:
        name: The setting.
        text: The value as given; for a secret, only whether it is set.
        source: Where the value comes from.
    """

    name: str
    text: str
    source: SettingSource


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a host.

    Attributes:
        host: Id of this host, unique in the deployment.
        domain: Failure domain of this host.
        callers: Listen address for callers.
        operators: Listen address for operators.
        peers: Listen address for other hosts.
        platform: Address of the platform's service.
        seeds: Peer addresses of some other hosts, for joining the mesh.
        cluster_key: Secret that all hosts share; environment only.
        cluster_key_old: Second key that is accepted while the cluster key is
            rotated; environment only.
        bootstrap_token: Operator token that is valid until a configuration
            with operators is in force; environment only.
        lease: Seconds for which a confirmation of the configuration is valid.
        poll: Seconds between reads of the configuration head.
        heartbeat: Seconds between heartbeats to peers.
        lame_duck: Seconds for which a stopping host still accepts new
            requests, since the load balancer learns with a delay that the
            host is not ready.
        drain: Maximum duration of a graceful stop, in seconds.
        max_body: Maximum size of a caller's request body, in bytes.
        memory_mb: Memory that the process may use in all, in MB. A part of it
            is for the bodies and answers of requests.
        body_timeout: Seconds within which a caller must send its body.
        log_format: ``text`` or ``json``.
        seed: Random seed; None takes one from the operating system.
        planner: Policy that chooses versions.
        selector: Policy that chooses upstreams.
        admitter: Policy that admits requests.
        retries: Policy that limits retries.
        quarantine: Policy that blocks versions because of evidence.
        plugins: Plug-in modules to import in addition to the built-in ones.
        print_settings: Print the settings and exit.
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
    memory_mb: int = 300
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
class _RawSetting:
    """The text of a setting as given; may hold a secret, so never shown."""

    spec: Spec
    text: str
    source: SettingSource

    def problem(self) -> str:
        """Describe why the text is invalid, without showing a secret."""
        spec = self.spec
        if self.source is SettingSource.MISSING:
            by_flag = '' if spec.secret else f'{spec.flag} or '
            fault = f'is not set; set {by_flag}{spec.variable} to'
        elif spec.secret:
            fault = f'has an invalid value in {spec.variable}; expected'
        else:
            label = spec.variable
            if self.source is SettingSource.FLAG:
                label = spec.flag
            fault = f'has invalid value {self.text!r} in {label}; expected'
        return f'Setting {spec.name} {fault} {spec.expected}.'

    def origin(self) -> SettingOrigin:
        """Return the value as it may be shown, and its source."""
        text = self.text
        if self.spec.secret:
            text = 'set, not shown' if text else 'not set'
        return SettingOrigin(self.spec.name, text, self.source)


def read_settings(
    argv: Sequence[str],
    environ: Mapping[str, str],
) -> tuple[Settings, tuple[SettingOrigin, ...]]:
    """Read and validate all settings.

    Args:
        argv: Command-line arguments, without the name of the program.
        environ: Environment variables.

    Returns:
        The settings, and the source of each value.

    Raises:
        SettingsError: If any setting is invalid; the message has one line
            for each problem.
    """
    flags, extras = _flag_parser().parse_known_args(argv)
    problems = _extra_problems(extras)
    fields: dict[str, Any] = {_PRINT_SETTINGS: getattr(flags, _PRINT_SETTINGS)}
    raw_settings = [_find_raw(spec, flags, environ) for spec in SPECS]
    for raw in raw_settings:
        try:
            fields[raw.spec.name] = _parse(raw)
        except ValueError:
            problems.append(raw.problem())
    problems.extend(_cross_problems(fields))
    if problems:
        raise SettingsError('\n'.join(problems))
    return Settings(**fields), tuple(
        setting.origin() for setting in raw_settings
    )


def format_settings(origins: Sequence[SettingOrigin]) -> str:
    """Return one line for each setting: its name, value and source."""
    width = max(len(origin.name) for origin in origins)
    return '\n'.join(
        f'{origin.name:{width}}  {origin.text}  ({origin.source.value})'
        for origin in origins
    )


def _flag_parser() -> argparse.ArgumentParser:
    """Return a parser of flags that does not validate their values."""
    parser = argparse.ArgumentParser(
        prog='nutmegroadd',
        description='The daemon of nutmegroad, a model-aware request router.',
        epilog='Read from the environment only: '
        + ', '.join(spec.variable for spec in SPECS if spec.secret),
        allow_abbrev=False,
    )
    parser.add_argument(
        '--print-settings',
        action='store_true',
        help='print each setting with its source and exit',
    )
    for spec in SPECS:
        if not spec.secret:
            # A flag without a value is read as an empty text, so that it is
            # reported together with all other problems.
            parser.add_argument(
                spec.flag,
                nargs='?',
                const='',
                help=f'{spec.description} ({spec.variable})',
            )
    return parser


def _find_raw(
    spec: Spec,
    flags: argparse.Namespace,
    environ: Mapping[str, str],
) -> _RawSetting:
    """Return the text of a setting: flag, else environment, else default."""
    by_flag = getattr(flags, spec.name, None)
    if by_flag is not None:
        return _RawSetting(spec, by_flag, SettingSource.FLAG)
    text = environ.get(spec.variable)
    if text is not None:
        return _RawSetting(spec, text, SettingSource.ENVIRONMENT)
    if spec.default is None:
        return _RawSetting(spec, '', SettingSource.MISSING)
    return _RawSetting(spec, spec.default, SettingSource.DEFAULT)


def _parse(raw: _RawSetting) -> Any:
    """Parse the text of a setting.

    Raises:
        ValueError: If the text is invalid or missing.
    """
    if raw.source is SettingSource.MISSING:
        raise ValueError
    return raw.spec.parse(raw.text)


def _extra_problems(extras: Sequence[str]) -> list[str]:
    """Return a problem for each argument that no flag accepts.

    The argument after an unknown flag is not shown, as it may be a secret.
    """
    secrets = {spec.flag: spec.variable for spec in SPECS if spec.secret}
    problems = []
    after_flag = False
    for extra in extras:
        flag, equals, _ = extra.partition('=')
        variable = secrets.get(flag)
        if variable:
            problems.append(
                f'A secret must not be given as the flag {flag}; '
                f'set {variable}.',
            )
        elif extra.startswith('-'):
            problems.append(f'Unknown flag {flag}; --help lists all flags.')
        elif not after_flag:
            problems.append(f'Unexpected argument {extra!r}.')
        after_flag = extra.startswith('-') and not equals
    return problems


def _cross_problems(fields: Mapping[str, Any]) -> list[str]:
    """Return a problem for each conflict between valid settings."""
    problems = [
        f'Setting {shorter} has invalid value {fields[shorter]:g}; expected '
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
                f'Setting {name} has invalid value {address}; expected a '
                f'unique address, but {other} has the same one.',
            )
        if address is not None and address.port:
            seen[address] = name
    return problems
