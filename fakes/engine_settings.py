"""Settings of the engine stand-in, and the flags that state them."""

from argparse import ArgumentParser, Namespace
from dataclasses import dataclass, field
from typing import Final

from fakes.answers import QualityTable, parse_qualities
from fakes.batching import BatchSpeed
from fakes.serving import port_parser

#: Prefixes that a cache holds where nothing else is said.
CACHE_ENTRIES: Final = 64


@dataclass(frozen=True, slots=True)
class ShelfSettings:
    """Versions of an engine.

    Attributes:
        loaded: Versions at the start.
        loadable: Versions that it may load besides.
        weights: Address of the weight store; empty for none.
        load_seconds: Seconds that a load takes beside the fetch.
    """

    loaded: tuple[str, ...] = ()
    loadable: tuple[str, ...] = ()
    weights: str = ''
    load_seconds: float = 0.5


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """What an engine is like.

    Attributes:
        engine: Its id.
        shelf: Its versions.
        speed: Its batch.
        cache_entries: Prefixes that its cache holds.
        report_lag: Seconds by which reports and cache events are late.
        seed: Fixes answers and draws; engines with one seed write alike.
        checks_fencing: It refuses orders with an old fencing number.
        quality: Quality of its versions.
    """

    engine: str = 'engine'
    shelf: ShelfSettings = field(default_factory=ShelfSettings)
    speed: BatchSpeed = field(default_factory=BatchSpeed)
    cache_entries: int = CACHE_ENTRIES
    report_lag: float = 0.5
    seed: int = 0
    checks_fencing: bool = True
    quality: QualityTable = field(default_factory=QualityTable)


def engine_parser() -> ArgumentParser:
    """Return the parser of the engine's command line."""
    parser = port_parser('A stand-in for a model engine.')
    _add_identity(parser)
    _add_speed(parser)
    parser.add_argument('--cache-entries', type=int, default=CACHE_ENTRIES)
    parser.add_argument('--report-lag', type=float, default=0.5)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument(
        '--checks-fencing',
        choices=('yes', 'no'),
        default='yes',
        help='whether orders with an old fencing number are refused',
    )
    parser.add_argument(
        '--quality',
        action='append',
        default=[],
        help='VERSION:TASK=MEAN or VERSION=MEAN; may be given again',
    )
    return parser


def read_settings(flags: Namespace) -> EngineSettings:
    """Turn parsed flags into settings.

    Raises:
        ValueError: If a quality is no number.
    """
    return EngineSettings(
        engine=flags.id,
        shelf=ShelfSettings(
            loaded=tuple(flags.versions),
            loadable=tuple(flags.loadable),
            weights=flags.weights,
            load_seconds=flags.load_seconds,
        ),
        speed=BatchSpeed(
            slots=flags.slots,
            queue_limit=flags.queue_limit,
            prefill_rate=flags.prefill_rate,
            step_base=flags.step_base,
            step_per_request=flags.step_per_request,
        ),
        cache_entries=flags.cache_entries,
        report_lag=flags.report_lag,
        seed=flags.seed,
        checks_fencing=flags.checks_fencing == 'yes',
        quality=parse_qualities(flags.quality),
    )


def _add_identity(parser: ArgumentParser) -> None:
    """Add who it is and what it has."""
    parser.add_argument('--id', default='engine')
    parser.add_argument('--versions', nargs='*', default=[])
    parser.add_argument('--loadable', nargs='*', default=[])
    parser.add_argument('--weights', default='', metavar='IP:PORT')
    parser.add_argument('--load-seconds', type=float, default=0.5)


def _add_speed(parser: ArgumentParser) -> None:
    """Add the numbers of the batch."""
    usual = BatchSpeed()
    parser.add_argument('--slots', type=int, default=usual.slots)
    parser.add_argument('--queue-limit', type=int, default=usual.queue_limit)
    parser.add_argument(
        '--prefill-rate',
        type=float,
        default=usual.prefill_rate,
    )
    parser.add_argument('--step-base', type=float, default=usual.step_base)
    parser.add_argument(
        '--step-per-request',
        type=float,
        default=usual.step_per_request,
    )
