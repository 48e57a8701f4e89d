"""Gossip of rollout counts: selects the counts for each datagram."""

from collections.abc import Callable
from typing import Final, NamedTuple

from msgspec import Struct

from nutmegroad.fleet.evidence import Answers, Evidence, KindNumber, RunNumber
from nutmegroad.fleet.rumors import Portion, Rumors, Source
from nutmegroad.foundations.types import HostId, ServiceName

#: Counts per datagram within a failure domain, some 60 bytes each.
_LOCAL_NEW: Final = 15
_LOCAL_OTHERS: Final = 10

#: Counts per datagram between failure domains. There are more of them, since
#: such a datagram stands for a whole domain.
_REMOTE_NEW: Final = 25
_REMOTE_OTHERS: Final = 8


class RunCounts(Struct, frozen=True, array_like=True):
    """Counts of one incarnation of a host during a rollout, as hosts send them.

    Attributes:
        service: The service that is rolled out.
        host: The host.
        order: Number of the rollout order.
        run: The incarnation of the host that counted.
        kinds: Its answers by kind of request.
    """

    service: ServiceName
    host: HostId
    order: int
    run: RunNumber
    kinds: dict[KindNumber, Answers]

    @property
    def evidence(self) -> Evidence:
        """Return the counts without service and host."""
        return Evidence(self.order, self.run, self.kinds)


class ToldCounts(Struct, frozen=True, array_like=True):
    """Rollout counts of a datagram.

    Attributes:
        home: Counts of hosts in the sender's failure domain.
        others: Counts of other hosts.
    """

    home: tuple[RunCounts, ...] = ()
    others: tuple[RunCounts, ...] = ()


class RunName(NamedTuple):
    """Key of the counts of one incarnation of a host.

    Attributes:
        service: The service that is rolled out.
        order: Number of the rollout order.
        host: The host.
        run: Its incarnation.
    """

    service: ServiceName
    order: int
    host: HostId
    run: RunNumber


class CountsTeller:
    """Selects the counts for each datagram.

    Args:
        look_up: Returns the counts with a key.
        offset: Offset at which the rotation of counts starts.
    """

    @property
    def has_far_news(self) -> bool:
        """Whether other failure domains may lack some counts."""
        return self._gossip.has_far_news

    def __init__(
        self,
        look_up: Callable[[RunName], Evidence],
        offset: int,
    ) -> None:
        self._look_up = look_up
        self._known: dict[RunName, None] = {}
        self._gossip: Rumors[RunName] = Rumors(
            Portion(_LOCAL_NEW, _LOCAL_OTHERS),
            Portion(_REMOTE_NEW, _REMOTE_OTHERS),
            offset,
        )

    def __len__(self) -> int:
        """Return the number of counts that are sent."""
        return len(self._known)

    def add(self, key: RunName, source: Source, *, news: bool) -> None:
        """Send counts that have grown.

        Args:
            key: Key of the counts.
            source: Where the counts were made.
            news: Whether all hosts need them in time.
        """
        self._known[key] = None
        if news:
            self._gossip.learnt(key, source)
        else:
            self._gossip.seen(key, source)

    def drop(self, service: ServiceName, order: int) -> None:
        """Stop sending the counts of an order."""
        self._known = {
            key: None
            for key in self._known
            if (key.service, key.order) != (service, order)
        }
        self._gossip.keep(self._known.keys())

    def tell_near(self, own: list[RunName]) -> ToldCounts:
        """Return counts for one datagram within the failure domain.

        Args:
            own: Keys of counts that are always included.
        """
        return self._report_of(own, self._gossip.choose_near(self._known))

    def tell_far(self, own: list[RunName]) -> ToldCounts:
        """Return counts for one datagram to another failure domain.

        Args:
            own: Keys of counts that are always included.
        """
        return self._report_of(own, self._gossip.choose_far(self._known))

    def _report_of(self, own: list[RunName], keys: list[RunName]) -> ToldCounts:
        """Return a report of the counts with some keys."""
        home = [key for key in keys if self._gossip.is_home(key)]
        others = [key for key in keys if not self._gossip.is_home(key)]
        return ToldCounts(
            tuple(map(self._counts_of, dict.fromkeys((*own, *home)))),
            tuple(map(self._counts_of, dict.fromkeys(others))),
        )

    def _counts_of(self, key: RunName) -> RunCounts:
        """Return the counts with a key."""
        kinds = self._look_up(key).kinds
        return RunCounts(key.service, key.host, key.order, key.run, kinds)
