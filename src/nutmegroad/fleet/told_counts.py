"""Which counts of roll-outs a host tells the others, its own and theirs."""

from collections.abc import Callable
from typing import Final, NamedTuple

from msgspec import Struct

from nutmegroad.fleet.evidence import Answers, Evidence, KindNumber, RunNumber
from nutmegroad.fleet.rumors import Portion, Rumors, Source
from nutmegroad.foundations.types import HostId, ServiceName

#: Counts of hosts in one datagram, some 60 bytes each.
_NEAR_NEWS: Final = 15
_NEAR_OTHERS: Final = 10

#: The same between failure domains: a datagram speaks for a whole domain.
_FAR_NEWS: Final = 25
_FAR_OTHERS: Final = 8


class RunCounts(Struct, frozen=True, array_like=True):
    """What one start of a host has seen of a roll-out, as hosts tell it.

    Attributes:
        service: The service that is rolled out.
        host: The host.
        order: Number of the order.
        run: Which start of the host counts.
        kinds: Its answers by kind of request.
    """

    service: ServiceName
    host: HostId
    order: int
    run: RunNumber
    kinds: dict[KindNumber, Answers]

    @property
    def evidence(self) -> Evidence:
        """Return what it has seen."""
        return Evidence(self.order, self.run, self.kinds)


class ToldCounts(Struct, frozen=True, array_like=True):
    """Counts as hosts tell them.

    Attributes:
        home: Of hosts of the sender's failure domain.
        others: Of other hosts.
    """

    home: tuple[RunCounts, ...] = ()
    others: tuple[RunCounts, ...] = ()


class RunName(NamedTuple):
    """Names the counts of one start of a host.

    Attributes:
        service: The service that is rolled out.
        order: Number of the order.
        host: The host.
        run: Which start of it.
    """

    service: ServiceName
    order: int
    host: HostId
    run: RunNumber


class CountsTeller:
    """Chooses the counts for each datagram.

    Args:
        look_up: Returns what is known of a start of a host.
        begin: Where the turns of counts begin.
    """

    @property
    def has_far_news(self) -> bool:
        """Tell whether other failure domains may not know of some counts."""
        return self._rumors.has_far_news

    def __init__(
        self,
        look_up: Callable[[RunName], Evidence],
        begin: int,
    ) -> None:
        self._look_up = look_up
        self._known: dict[RunName, None] = {}
        self._rumors: Rumors[RunName] = Rumors(
            Portion(_NEAR_NEWS, _NEAR_OTHERS),
            Portion(_FAR_NEWS, _FAR_OTHERS),
            begin,
        )

    def __len__(self) -> int:
        """Return how many counts are told."""
        return len(self._known)

    def add(self, name: RunName, source: Source, *, news: bool) -> None:
        """Tell of counts that have grown.

        Args:
            name: Whose they are.
            source: Who has counted.
            news: Whether all have to know in time.
        """
        self._known[name] = None
        if news:
            self._rumors.learnt(name, source)
        else:
            self._rumors.seen(name, source)

    def drop(self, service: ServiceName, order: int) -> None:
        """Tell no more of an order."""
        self._known = {
            name: None
            for name in self._known
            if (name.service, name.order) != (service, order)
        }
        self._rumors.keep(self._known.keys())

    def tell_near(self, own: list[RunName]) -> ToldCounts:
        """Return counts for one datagram within the failure domain.

        Args:
            own: What is told in any case.
        """
        return self._spell(own, self._rumors.choose_near(self._known))

    def tell_far(self, own: list[RunName]) -> ToldCounts:
        """Return the same for a datagram to another failure domain."""
        return self._spell(own, self._rumors.choose_far(self._known))

    def _spell(self, own: list[RunName], names: list[RunName]) -> ToldCounts:
        """Return counts by their names."""
        home = [name for name in names if self._rumors.is_home(name)]
        others = [name for name in names if not self._rumors.is_home(name)]
        return ToldCounts(
            tuple(map(self._counts_of, dict.fromkeys((*own, *home)))),
            tuple(map(self._counts_of, dict.fromkeys(others))),
        )

    def _counts_of(self, name: RunName) -> RunCounts:
        """Return counts by their name."""
        kinds = self._look_up(name).kinds
        return RunCounts(name.service, name.host, name.order, name.run, kinds)
