"""Evidence on rollouts from all hosts, and the verdicts that follow from it.

Hosts exchange their counts. A host halts a version on the sum that it knows,
whether the store is available or not.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from nutmegroad.canary.rollout_registry import RolloutRegistry
from nutmegroad.canary.rollouts import CANARY_SHARE_FACTOR, Rollout, Stage
from nutmegroad.canary.verdicts import Judgement, Verdict
from nutmegroad.fleet.evidence import Evidence, KindNumber
from nutmegroad.fleet.evidence_tracker import EvidenceTracker
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import HostId, ServiceName
from nutmegroad.upstreams.directory import SoftwareVersion

_LOG: Final = part_logger('rollouts')


@dataclass(slots=True)
class _Assessment:
    """Assessment of an order's answers so far.

    Attributes:
        order: Number of the order.
        judgement: Tests of the answers.
        seen: Change count of the evidence and number of hosts at the last
            assessment.
        verdict: Verdict of the last assessment.
    """

    order: int
    judgement: Judgement
    seen: tuple[int, int] | None = None
    verdict: Verdict = Verdict.INCONCLUSIVE


class RolloutState:
    """All rollouts that a host knows, and the evidence on them.

    Args:
        host: This host.
        canary_share: Traffic share of a new version in the canary stage.
        store_time: Returns the store's clock in seconds.
        evidence: Counts of all hosts.
        host_count: Returns the number of hosts, including this one.
        exposure_slack: Requests that operators allow a bad version beyond its
            share.
        registry: The orders and their progress.
    """

    def __init__(
        self,
        host: HostId,
        canary_share: float,
        store_time: Callable[[], float],
        evidence: EvidenceTracker,
        host_count: Callable[[], int],
        exposure_slack: float = 0,
        *,
        registry: RolloutRegistry,
    ) -> None:
        self.host = host
        self.canary_share = canary_share
        self.store_time = store_time
        self.registry = registry
        self.exposure_slack = exposure_slack
        self._host_count = host_count
        self._evidence = evidence
        self._assessments: dict[ServiceName, _Assessment] = {}
        self._halted: set[int] = set()

    def merge_evidence(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
    ) -> None:
        """Merge the counts of a host; it may be this one before a restart."""
        self._evidence.merge(service, host, evidence)

    def observe(
        self,
        service: ServiceName,
        version: SoftwareVersion,
        kind: KindNumber,
        *,
        poor: bool,
    ) -> None:
        """Count an answer if a rollout of its service is in progress."""
        rollout = self.registry.rollout(service)
        if rollout is None or rollout.stage is None or rollout.stage.ended:
            return
        of_new = version == rollout.order.to
        number = rollout.order.number
        self._evidence.count(service, number, kind, of_new=of_new, poor=poor)

    def record_sent(self, service: ServiceName, kind: KindNumber) -> None:
        """Count a request if a rollout of its service is in progress."""
        rollout = self.registry.rollout(service)
        if rollout is None or rollout.stage is None or rollout.stage.ended:
            return
        self._evidence.count_sent(service, rollout.order.number, kind)

    def own_evidence(self, rollout: Rollout) -> Evidence:
        """Return what this host has counted of a rollout."""
        return self._evidence.own(rollout.order.service, rollout.order.number)

    def verdict(self, rollout: Rollout) -> Verdict:
        """Return the verdict on all answers that this host knows of."""
        return self._assess(rollout).verdict

    def reason(self, rollout: Rollout) -> str:
        """Return one line with the figures behind the verdict."""
        return self._assess(rollout).judgement.reason()

    def halted(self, rollout: Rollout) -> bool:
        """Return whether this host sends the new version no more requests."""
        if rollout.stage is Stage.ROLLED_BACK:
            return True
        if rollout.stage is Stage.SUCCEEDED:
            return False
        if rollout.order.number in self._halted:
            return True
        return self._halt_if_bad(rollout)

    def request_count(self, rollout: Rollout) -> int:
        """Return the approximate number of requests that all hosts have sent.

        Answers would be too few: those of streams come seconds later.
        """
        order = rollout.order
        sums = self._evidence.sums(order.service, order.number)
        sent = sum(answers.sent for answers in sums.values())
        return sent * self._group_count(rollout)

    def _halt_if_bad(self, rollout: Rollout) -> bool:
        """Halt a rollout if its answers show that the version is bad."""
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

    def _assess(self, rollout: Rollout) -> _Assessment:
        """Assess the evidence that has arrived since the last assessment.

        Each request calls this method, so it does nothing if nothing is new.
        """
        service, number = rollout.order.service, rollout.order.number
        assessment = self._assessments.get(service)
        if assessment is None or assessment.order != number:
            assessment = _Assessment(number, Judgement())
            self._assessments[service] = assessment
        seen = (self._evidence.changes, self._host_count())
        if assessment.seen != seen:
            assessment.seen = seen
            assessment.judgement.update(self._evidence.sums(service, number))
            assessment.verdict = assessment.judgement.verdict(
                self._group_count(rollout)
            )
        return assessment

    def _group_count(self, rollout: Rollout) -> int:
        """Return how many groups of hosts judge by different answers.

        A host of a large fleet receives the counts of only some hosts in time,
        and any host may make a step. The number of groups is the number of
        hosts divided by the number of hosts whose counts have arrived.
        """
        order = rollout.order
        reporting = self._evidence.count_hosts(order.service, order.number)
        return max(1, round(self._host_count() / max(1, reporting)))


def canary_share(exposure: float) -> float:
    """Return the traffic share of a new version in the canary stage.

    Args:
        exposure: Share of the requests that the operator allows a bad version.
    """
    return exposure * CANARY_SHARE_FACTOR
