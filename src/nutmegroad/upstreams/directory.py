"""The upstreams that a host knows, and what it is doing at each.

The list of the platform says which there are; it lags, and after the
platform was away entries are missing that are about to return. What this
host has sent where, and how that went, it knows itself.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from typing import Final, NewType

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    ServiceName,
    UpstreamId,
    UpstreamIncarnation,
)
from nutmegroad.upstreams.health import Health

#: The version of an upstream's software, as the list writes it.
SoftwareVersion = NewType('SoftwareVersion', str)

_LOG: Final = part_logger('upstreams')

#: Upstreams that have gone and are remembered, to know them if they start
#: again: more than the largest deployment in view has (890).
MOST_GONE: Final = 1000


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream as the platform's list has it.

    Attributes:
        upstream: Its id.
        service: The service that it answers for.
        address: Where it listens.
        domain: The failure domain that it stands in.
        version: Version of its software.
        slots: Requests that it runs at once.
        leaving: Whether it takes no new work soon.
        born: Milliseconds since 1970, by its own clock, at which it started;
            0 if the list does not tell.
    """

    upstream: UpstreamId
    service: ServiceName
    address: Address
    domain: DomainId
    version: SoftwareVersion
    slots: int
    leaving: bool = False
    born: int = 0

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return the name of this start of it, which no other start has."""
        if not self.born:
            return UpstreamIncarnation(self.upstream)
        return UpstreamIncarnation(f'{self.upstream}@{self.born}')


@unique
class End(Enum):
    """How an incarnation of an upstream ended, as far as the list tells."""

    #: It is not listed any more; what it has begun it may still finish.
    GONE = 'gone'
    #: Another start has its id, so nothing of it is left.
    RESTARTED = 'restarted'


#: Told of each incarnation that has ended.
TellOfEnd = Callable[[UpstreamIncarnation, End], None]


@dataclass(slots=True)
class Upstream:
    """One incarnation of an upstream, with what this host knows of it.

    Attributes:
        entry: What the list says.
        health: What own exchanges say.
        missing_until: Clock seconds until which it may be missing from the
            list; None if the list has it.
        restarted: Whether another start has its id: what it still answers
            tells nothing of the one that is there now.
        earlier_start: A start before this one that the list has told once
            since, in milliseconds since 1970; 0 for none.
    """

    entry: UpstreamEntry
    health: Health = field(default_factory=Health)
    missing_until: float | None = None
    restarted: bool = False
    earlier_start: int = 0


class EndedIncarnations:
    """Tells of incarnations that end, and knows those that are gone."""

    def __init__(self) -> None:
        self._told: list[TellOfEnd] = []
        # The oldest first; one of these may come back as another start.
        self._gone: dict[UpstreamId, Upstream] = {}

    def tell_of_ends(self, tell: TellOfEnd) -> None:
        """Let somebody hear of each incarnation that ends."""
        self._told.append(tell)

    def gone(self, known: Upstream) -> None:
        """Note that an upstream is not listed any more."""
        self._gone[known.entry.upstream] = known
        while len(self._gone) > MOST_GONE:
            self._gone.pop(next(iter(self._gone)))
        self._tell(known, End.GONE)

    def restarted(self, known: Upstream) -> None:
        """Note that another start has an upstream's id."""
        known.restarted = True
        self._tell(known, End.RESTARTED)

    def has_gone(self, entry: UpstreamEntry) -> bool:
        """Tell whether an entry is of a start that is not listed any more."""
        known = self._gone.get(entry.upstream)
        return known is not None and known.entry.born == entry.born

    def listed(self, entry: UpstreamEntry) -> None:
        """Note an upstream that is new to the list, or back."""
        before = self._gone.pop(entry.upstream, None)
        if before is not None and before.entry.born != entry.born:
            self.restarted(before)

    def _tell(self, known: Upstream, end: End) -> None:
        """Tell whoever wants to know."""
        for tell in self._told:
            tell(known.entry.incarnation, end)


class Directory:
    """All upstreams that requests may be sent to.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.ended = EndedIncarnations()
        self._clock = clock
        self._known: dict[UpstreamId, Upstream] = {}
        self._at: dict[Address, UpstreamId] = {}
        # Grouped anew when it is asked for after a change: the first list
        # brings all entries at once.
        self._services: dict[ServiceName, tuple[Upstream, ...]] | None = None

    def __len__(self) -> int:
        """Return how many upstreams are known."""
        return len(self._known)

    def of_service(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that do not leave."""
        services = self._services
        if services is None:
            services = self._group()
            self._services = services
        return services.get(service, ())

    def find(self, upstream: UpstreamId) -> Upstream | None:
        """Return one upstream, or None if it is not known."""
        return self._known.get(upstream)

    def put(self, entry: UpstreamEntry) -> None:
        """Take an entry in, or its change."""
        known = self._known.get(entry.upstream)
        if known is None:
            self._take_in(entry)
        elif entry.born and entry.born != known.entry.born:
            if not _is_later_start(known, entry):
                self._say('kept out: an earlier start', entry)
                return
            self._leave_address(known)
            self._restart(known, entry)
        else:
            self._leave_address(known)
            self._change(known, entry)
        self._at[entry.address] = entry.upstream
        self._services = None

    def remove(self, upstream: UpstreamId, reason: str) -> None:
        """Forget an upstream that the list does not have any more."""
        known = self._known.pop(upstream, None)
        if known is not None:
            self._say(f'dropped: {reason}', known.entry)
            self._leave_address(known)
            self._services = None
            self.ended.gone(known)

    def missing(self, upstream: UpstreamId, patience: float) -> None:
        """Note that an entry is missing which may be about to return.

        Args:
            upstream: Whose entry.
            patience: Seconds that it has for that.
        """
        known = self._known.get(upstream)
        if known is not None and known.missing_until is None:
            known.missing_until = self._clock.now() + patience

    def remove_missing(self) -> None:
        """Forget entries that have been missing for too long."""
        now = self._clock.now()
        for upstream, known in tuple(self._known.items()):
            until = known.missing_until
            if until is not None and now >= until:
                self.remove(upstream, 'missing since the store came back')

    def others(self, listed: Iterable[UpstreamId]) -> tuple[UpstreamId, ...]:
        """Return the known upstreams that are not among those listed."""
        present = frozenset(listed)
        return tuple(each for each in self._known if each not in present)

    def _take_in(self, entry: UpstreamEntry) -> None:
        """Take in an upstream that the list did not have."""
        self._replace_at(entry)
        self._known[entry.upstream] = Upstream(entry)
        self._say('taken in', entry)
        self.ended.listed(entry)

    def _leave_address(self, known: Upstream) -> None:
        """Forget where an upstream stood."""
        if self._at.get(known.entry.address) == known.entry.upstream:
            self._at.pop(known.entry.address)

    def _change(self, known: Upstream, entry: UpstreamEntry) -> None:
        """Take in what the same start of an upstream tells anew."""
        if entry.leaving and not known.entry.leaving:
            self._say('leaving', entry)
        known.entry = replace(entry, born=known.entry.born)
        known.missing_until = None
        known.earlier_start = 0

    def _restart(self, known: Upstream, entry: UpstreamEntry) -> None:
        """Put a new start in the place of the one before."""
        self._known[entry.upstream] = Upstream(entry)
        self._say('started again', entry)
        self.ended.restarted(known)

    def _replace_at(self, entry: UpstreamEntry) -> None:
        """Forget whoever stood at the address of a new upstream before."""
        before = self._at.get(entry.address)
        if before is not None:
            self.remove(before, f'replaced by {entry.upstream}')

    def _group(self) -> dict[ServiceName, tuple[Upstream, ...]]:
        """Return the upstreams that take new work, by service."""
        grouped: dict[ServiceName, list[Upstream]] = {}
        for known in self._known.values():
            if not known.entry.leaving:
                grouped.setdefault(known.entry.service, []).append(known)
        return {service: tuple(members) for service, members in grouped.items()}

    def _say(self, what: str, entry: UpstreamEntry) -> None:
        """Log a change of what the host believes."""
        _LOG.decision(
            what,
            upstream=entry.upstream,
            service=entry.service,
            address=str(entry.address),
            version=entry.version,
            leaving=entry.leaving,
            born=entry.born,
        )


def _is_later_start(known: Upstream, entry: UpstreamEntry) -> bool:
    """Tell whether an entry is of a start after the one that is known.

    An earlier time is a write of the start before that took effect late;
    told twice, it is a clock that was set back: what is dead tells
    nothing twice.
    """
    if entry.born > known.entry.born:
        return True
    if entry.born == known.earlier_start:
        return True
    known.earlier_start = entry.born
    return False


def has_left(directory: Directory, entry: UpstreamEntry) -> bool:
    """Tell whether an upstream has left, or leaves, unlike its entry."""
    known = directory.find(entry.upstream)
    if known is None:
        return directory.ended.has_gone(entry)
    return known.entry.leaving and not entry.leaving
