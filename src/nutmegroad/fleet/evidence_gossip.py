"""Gossip of rollout counts: selects the counts for each datagram."""

from collections.abc import Callable
from typing import Annotated, Final, NamedTuple

from msgspec import Struct

from nutmegroad.fleet.evidence import (
    Answers,
    Evidence,
    HostIncarnation,
    KindNumber,
)
from nutmegroad.fleet.gossip_queue import DatagramCapacity, GossipQueue, Source
from nutmegroad.foundations.decoding import IDENTIFIER, Number
from nutmegroad.foundations.types import HostId, ServiceName

#: Maximum counts per datagram within a failure domain, some 60 bytes each: new
#: ones, and others that are sent in rotation.
_LOCAL_NEW: Final = 15
_LOCAL_OTHERS: Final = 10

#: The same between failure domains. More of the counts are new ones, since such
#: a datagram reports on behalf of a whole domain.
_REMOTE_NEW: Final = 25
_REMOTE_OTHERS: Final = 8


class IncarnationCounts(Struct, frozen=True, array_like=True):
    """Counts of one incarnation of a host during a rollout, as hosts send them.

    Attributes:
        service: The service that is rolled out.
        host: The host.
        order: Number of the rollout order.
        incarnation: The incarnation of the host that counted.
        kinds: Its answers by kind of request.
    """

    service: ServiceName
    host: HostId
    order: Number
    incarnation: Annotated[HostIncarnation, IDENTIFIER]
    kinds: dict[KindNumber, Answers]

    @property
    def evidence(self) -> Evidence:
        """Return the counts without service and host."""
        return Evidence(self.order, self.incarnation, self.kinds)


class CountsReport(Struct, frozen=True, array_like=True):
    """Rollout counts of a datagram.

    Attributes:
        local: Counts of hosts in the sender's failure domain.
        remote: Counts of other hosts.
    """

    local: tuple[IncarnationCounts, ...] = ()
    remote: tuple[IncarnationCounts, ...] = ()


class CountsKey(NamedTuple):
    """Key of the counts of one incarnation of a host.

    Attributes:
        service: The service that is rolled out.
        order: Number of the rollout order.
        host: The host.
        incarnation: Its incarnation.
    """

    service: ServiceName
    order: int
    host: HostId
    incarnation: HostIncarnation


class CountsGossip:
    """Selects the counts for each datagram.

    Args:
        look_up: Returns the counts with a key.
        offset: Offset at which the rotation of counts starts.
    """

    @property
    def has_remote_updates(self) -> bool:
        """Whether other failure domains may lack some counts."""
        return self._gossip.has_remote_updates

    def __init__(
        self,
        look_up: Callable[[CountsKey], Evidence],
        offset: int,
    ) -> None:
        self._look_up = look_up
        self._known: dict[CountsKey, None] = {}
        self._gossip: GossipQueue[CountsKey] = GossipQueue(
            DatagramCapacity(_LOCAL_NEW, _LOCAL_OTHERS),
            DatagramCapacity(_REMOTE_NEW, _REMOTE_OTHERS),
            offset,
        )

    def __len__(self) -> int:
        """Return the number of keys whose counts are sent."""
        return len(self._known)

    def add(self, key: CountsKey, source: Source, *, urgent: bool) -> None:
        """Add counts that have grown to those that are sent.

        Args:
            key: Key of the counts.
            source: Where the counts were made.
            urgent: Whether to send them in the next datagrams, not only in
                rotation.
        """
        self._known[key] = None
        if urgent:
            self._gossip.add_new(key, source)
        else:
            self._gossip.record_source(key, source)

    def drop(self, service: ServiceName, order: int) -> None:
        """Stop sending the counts of an order."""
        self._known = {
            key: None
            for key in self._known
            if (key.service, key.order) != (service, order)
        }
        self._gossip.retain(self._known.keys())

    def local_report(self, own: list[CountsKey]) -> CountsReport:
        """Return counts for one datagram within the failure domain.

        Args:
            own: Keys of counts that are always included.
        """
        return self._report_of(own, self._gossip.choose_local(self._known))

    def remote_report(self, own: list[CountsKey]) -> CountsReport:
        """Return counts for one datagram to another failure domain.

        Args:
            own: Keys of counts that are always included.
        """
        return self._report_of(own, self._gossip.choose_remote(self._known))

    def _report_of(
        self, own: list[CountsKey], keys: list[CountsKey]
    ) -> CountsReport:
        """Return a report of the counts with some keys."""
        local = [key for key in keys if self._gossip.is_local_entry(key)]
        remote = [key for key in keys if not self._gossip.is_local_entry(key)]
        return CountsReport(
            tuple(map(self._counts_of, dict.fromkeys((*own, *local)))),
            tuple(map(self._counts_of, dict.fromkeys(remote))),
        )

    def _counts_of(self, key: CountsKey) -> IncarnationCounts:
        """Return the counts with a key."""
        kinds = self._look_up(key).kinds
        return IncarnationCounts(
            key.service, key.host, key.order, key.incarnation, kinds
        )
