"""What hosts have seen of roll-outs, and what follows from it.

They tell each other. A host halts a version on its own sum, store or not.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from nutmegroad.canary.order_book import OrderBook
from nutmegroad.canary.rollouts import TRIAL_PART, Rollout, Stage
from nutmegroad.canary.verdicts import Judgement, Verdict
from nutmegroad.fleet.evidence import Evidence, KindNumber
from nutmegroad.fleet.evidence_book import EvidenceBook
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import HostId, ServiceName
from nutmegroad.upstreams.directory import SoftwareVersion

_LOG: Final = part_logger('rollouts')


@dataclass(slots=True)
class _Weighed:
    """What an order's answers have shown up to now.

    Attributes:
        order: Number of the order.
        judgement: What weighs them.
        seen: What the book had counted when they were weighed last, and how
            many hosts there were.
        verdict: What they showed then.
    """

    order: int
    judgement: Judgement
    seen: tuple[int, int] | None = None
    verdict: Verdict = Verdict.NOT_SHOWN


class RolloutState:
    """All roll-outs that a host knows, and the evidence on them.

    Args:
        host: This host.
        trial: Share of the traffic that a new version gets on trial.
        store_time: Returns the present seconds of the store's clock.
        book: What all hosts have seen.
        hosts: Returns how many hosts the fleet has, this one included.
        besides: Requests that operators allow a bad version besides its share.
        orders: The orders, and how far they have come.
    """

    def __init__(
        self,
        host: HostId,
        trial: float,
        store_time: Callable[[], float],
        book: EvidenceBook,
        hosts: Callable[[], int],
        besides: float = 0,
        *,
        orders: OrderBook,
    ) -> None:
        self.host = host
        self.trial = trial
        self.store_time = store_time
        self.orders = orders
        self.besides = besides
        self._hosts = hosts
        self._book = book
        self._weighed: dict[ServiceName, _Weighed] = {}
        self._halted: set[int] = set()

    def told(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
    ) -> None:
        """Take in what a host has seen, this one at an earlier start too."""
        self._book.told(service, host, evidence)

    def observe(
        self,
        service: ServiceName,
        version: SoftwareVersion,
        kind: KindNumber,
        *,
        poor: bool,
    ) -> None:
        """Count an answer, if a roll-out of its service is under way."""
        rollout = self.orders.rollout(service)
        if rollout is None or rollout.stage is None or rollout.stage.ended:
            return
        of_new = version == rollout.order.to
        number = rollout.order.number
        self._book.count(service, number, kind, of_new=of_new, poor=poor)

    def own(self, rollout: Rollout) -> Evidence:
        """Return what this host has seen of a roll-out."""
        return self._book.own(rollout.order.service, rollout.order.number)

    def verdict(self, rollout: Rollout) -> Verdict:
        """Return what all answers show, as far as this host knows of them."""
        return self._weigh(rollout).verdict

    def reason(self, rollout: Rollout) -> str:
        """Return one line on what the verdict rests on."""
        return self._weigh(rollout).judgement.reason()

    def halted(self, rollout: Rollout) -> bool:
        """Tell whether this host sends the new version nothing any more."""
        if rollout.stage is Stage.ROLLED_BACK:
            return True
        if rollout.stage is Stage.SUCCEEDED:
            return False
        if rollout.order.number in self._halted:
            return True
        return self._reconsider(rollout)

    def answers(self, rollout: Rollout) -> int:
        """Return how many answers all hosts have had, about."""
        whole = self._weigh(rollout).judgement.whole
        return whole.count * self._views(rollout)

    def _reconsider(self, rollout: Rollout) -> bool:
        """Halt a roll-out if its answers show that the version is bad."""
        if self.verdict(rollout) is not Verdict.BAD:
            return False
        self._halted.add(rollout.order.number)
        _LOG.decision(
            'roll-out halted here',
            service=rollout.order.service,
            version=rollout.order.to,
            why=self.reason(rollout),
        )
        return True

    def _weigh(self, rollout: Rollout) -> _Weighed:
        """Weigh what has come in since the last time.

        Each request asks for it, so nothing is done where nothing is new.
        """
        service, number = rollout.order.service, rollout.order.number
        weighed = self._weighed.get(service)
        if weighed is None or weighed.order != number:
            weighed = _Weighed(number, Judgement())
            self._weighed[service] = weighed
        seen = (self._book.changes, self._hosts())
        if weighed.seen != seen:
            weighed.seen = seen
            weighed.judgement.take(self._book.sums(service, number))
            weighed.verdict = weighed.judgement.verdict(self._views(rollout))
        return weighed

    def _views(self, rollout: Rollout) -> int:
        """Return how many groups of hosts judge by answers of their own.

        A host of a large fleet hears of a part of it in time, and any host
        may make a step.
        """
        order = rollout.order
        heard = self._book.tellers(order.service, order.number)
        return max(1, round(self._hosts() / max(1, heard)))


def trial_share(exposure: float) -> float:
    """Return the share of requests that a new version gets on trial.

    Args:
        exposure: The share that the operator allows a bad version.
    """
    return exposure * TRIAL_PART
