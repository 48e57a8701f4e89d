"""Settings of the engine stand-in and its command line."""

from argparse import ArgumentParser, Namespace
from dataclasses import dataclass, field
from typing import Final

from fakes.answers import QualityTable, parse_qualities
from fakes.batching import BatchSpeed
from fakes.serving import port_parser

#: Default capacity of the prefix cache, in prefixes.
DEFAULT_CACHE_ENTRIES: Final = 64


@dataclass(frozen=True, slots=True)
class VersionSettings:
    """Versions of an engine, and how it loads them.

    Attributes:
        loaded: Versions that are loaded at the start.
        loadable: Further versions that can be loaded.
        weights: Address of the weight store; if empty, none is used.
        load_seconds: Seconds that a load takes after the weights are fetched.
    """

    loaded: tuple[str, ...] = ()
    loadable: tuple[str, ...] = ()
    weights: str = ''
    load_seconds: float = 0.5


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of an engine.

    Attributes:
        engine: Id of the engine.
        versions: Versions that it has loaded or can load.
        speed: Speed and capacity of its batch.
        cache_entries: Capacity of its cache, in prefixes.
        report_lag: Delay of reports and cache events, in seconds.
        seed: Seed of all random choices; engines with the same seed generate
            the same answers.
        checks_fencing: Whether it rejects orders with an old fencing number.
        quality: Mean answer quality of its versions.
    """

    engine: str = 'engine'
    versions: VersionSettings = field(default_factory=VersionSettings)
    speed: BatchSpeed = field(default_factory=BatchSpeed)
    cache_entries: int = DEFAULT_CACHE_ENTRIES
    report_lag: float = 0.5
    seed: int = 0
    checks_fencing: bool = True
    quality: QualityTable = field(default_factory=QualityTable)


def engine_parser() -> ArgumentParser:
    """Return the engine's command line parser."""
    parser = port_parser('Stand-in for a model engine.')
    _add_version_arguments(parser)
    _add_speed_arguments(parser)
    parser.add_argument(
        '--cache-entries', type=int, default=DEFAULT_CACHE_ENTRIES
    )
    parser.add_argument('--report-lag', type=float, default=0.5)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument(
        '--checks-fencing',
        choices=('yes', 'no'),
        default='yes',
        help='whether orders with an old fencing number are rejected',
    )
    parser.add_argument(
        '--quality',
        action='append',
        default=[],
        help='VERSION:TASK=MEAN or VERSION=MEAN; can be repeated',
    )
    return parser


def read_settings(arguments: Namespace) -> EngineSettings:
    """Return the settings for parsed command line arguments.

    Raises:
        ValueError: If a quality is not a number.
    """
    return EngineSettings(
        engine=arguments.id,
        versions=VersionSettings(
            loaded=tuple(arguments.versions),
            loadable=tuple(arguments.loadable),
            weights=arguments.weights,
            load_seconds=arguments.load_seconds,
        ),
        speed=BatchSpeed(
            slots=arguments.slots,
            queue_limit=arguments.queue_limit,
            prefill_rate=arguments.prefill_rate,
            step_base=arguments.step_base,
            step_per_request=arguments.step_per_request,
        ),
        cache_entries=arguments.cache_entries,
        report_lag=arguments.report_lag,
        seed=arguments.seed,
        checks_fencing=arguments.checks_fencing == 'yes',
        quality=parse_qualities(arguments.quality),
    )


def _add_version_arguments(parser: ArgumentParser) -> None:
    """Add the arguments for the engine's id and versions."""
    parser.add_argument('--id', default='engine')
    parser.add_argument('--versions', nargs='*', default=[])
    parser.add_argument('--loadable', nargs='*', default=[])
    parser.add_argument('--weights', default='', metavar='IP:PORT')
    parser.add_argument('--load-seconds', type=float, default=0.5)


def _add_speed_arguments(parser: ArgumentParser) -> None:
    """Add the arguments for the batch."""
    defaults = BatchSpeed()
    parser.add_argument('--slots', type=int, default=defaults.slots)
    parser.add_argument('--queue-limit', type=int, default=defaults.queue_limit)
    parser.add_argument(
        '--prefill-rate',
        type=float,
        default=defaults.prefill_rate,
    )
    parser.add_argument('--step-base', type=float, default=defaults.step_base)
    parser.add_argument(
        '--step-per-request',
        type=float,
        default=defaults.step_per_request,
    )
