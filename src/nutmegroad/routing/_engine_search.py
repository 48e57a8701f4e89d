"""One search for an engine, and its description in reasons and log lines."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import UpstreamId, VersionId
from nutmegroad.routing._estimates import VersionSpeed
from nutmegroad.routing.directory import is_engine

#: Maximum number of engines named in a reason.
MAX_NAMED: Final = 4

#: Maximum number of engines described in a log line.
MAX_LOGGED: Final = 16

_LOG: Final = part_logger('selection')


@dataclass(slots=True)
class Candidate:
    """An engine that was evaluated."""

    state: UpstreamState  # The engine.
    load: float  # Estimated number of requests there.
    seconds: float  # Expected seconds to the first token.
    cached: bool  # Whether it probably has the prefix cached.


@dataclass(slots=True)
class Search:
    """State of one selection in progress."""

    request: ModelRequest
    version: VersionId  # The version that is to answer.
    excluded: frozenset[UpstreamId]  # Engines that must not be selected.
    now: float  # Clock seconds of the selection.
    speed: VersionSpeed  # Speed estimates of the version.
    # Engines evaluated so far.
    candidates: list[Candidate] = field(default_factory=list)
    # Engines and domains that were ruled out, with the reason.
    exclusions: list[str] = field(default_factory=list)
    cached: tuple[UpstreamId, ...] = ()  # Engines likely to hold the prefix.
    best: Candidate | None = None  # The best candidate so far.

    def consider(self, candidate: Candidate) -> None:
        """Keep a candidate if it is the best so far."""
        self.candidates.append(candidate)
        if self.best is None or candidate.seconds < self.best.seconds:
            self.best = candidate


def describe_choice(search: Search, best: Candidate) -> str:
    """Return the reason for a choice, with alternatives and exclusions."""
    cached = ', prefix cached' if best.cached else ''
    others = '; '.join(
        f'{one.state.info.upstream} {one.seconds:.3f} s at load {one.load:.0f}'
        for one in search.candidates[:MAX_NAMED]
        if one is not best
    )
    exclusions = ', '.join(search.exclusions[:MAX_NAMED])
    reason = (
        f'first token in {best.seconds:.3f} s at load {best.load:.0f}{cached}'
    )
    if others:
        reason = f'{reason}; others: {others}'
    return f'{reason}; excluded: {exclusions}' if exclusions else reason


def log_no_engine(search: Search, states: Iterable[UpstreamState]) -> None:
    """Log why no engine could be selected.

    Args:
        search: The search.
        states: All upstreams known to this host.
    """
    engines = islice(filter(is_engine, states), MAX_LOGGED)
    _LOG.decision(
        'no engine',
        request=search.request.request,
        version=search.version,
        failed=sorted(search.excluded),
        excluded=search.exclusions[:MAX_NAMED],
        engines=[_describe_engine(state, search.now) for state in engines],
    )


def _describe_engine(state: UpstreamState, now: float) -> str:
    """Return what this host knows of an engine, for a log line."""
    report = state.report
    versions = '-' if report is None else ' '.join(report.versions)
    age = now - state.report_requested_at
    return (
        f'{state.info.upstream} {state.info.presence.value}'
        f' draining={state.draining} report_age={age:.2f}'
        f' versions={versions}'
    )
