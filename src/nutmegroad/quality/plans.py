"""Adaptive planner: selects the cheapest version of sufficient quality.

It relies on the estimates from ratings (see ``estimates``), and uses a small
fraction of the traffic to explore versions that would save cost if they turned
out to be good. The evaluation of the versions is cached for similar requests
until an estimate or the configuration changes.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.decisions import AttemptEnd
from nutmegroad.contracts.documents import Concern, Stage, VersionEntry
from nutmegroad.contracts.requests import ModelRequest, Plan
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Epoch, TaskName, VersionId
from nutmegroad.quality._plan_choice import (
    Candidate,
    Standing,
    choose,
    explain,
    standing_of,
)
from nutmegroad.quality.canary_policy import CanaryPolicy
from nutmegroad.quality.cascades import (
    PASS_THRESHOLD,
    AnswerCheck,
    Cascade,
    NoCheck,
    best_cascade,
)
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.prices import cost_of

#: Fraction of a task's requests that may explore a cheaper, uncertain version.
EXPLORATION_FRACTION: Final = 0.02
#: Maximum exploration budget, in requests; bounds a burst after a quiet time.
_MAX_BUDGET: Final = 1.0
#: Maximum number of cached evaluations.
_MAX_CACHED: Final = 4096
#: Standard error above which a version is worth exploring.
_MIN_ERROR: Final = 0.002
#: Seconds after which a request refused for lack of a plan may be retried.
_RETRY_AFTER: Final = 30.0


@dataclass(frozen=True, slots=True)
class _CacheKey:
    """Properties that determine the evaluation of the versions.

    Which version is cheaper may depend on the lengths of prompt and answer, so
    these are part of the key, rounded to powers of two.
    """

    task: TaskName
    target: float
    concern: Concern
    versions: tuple[VersionId, ...]
    prompt_size: int
    output_size: int


@dataclass(slots=True)
class _Evaluation:
    """Evaluation of the versions for a key.

    Attributes:
        generation: Generation of the estimates that were used.
        candidates: Steady versions.
        canaries: Versions in a rollout that have not failed the target.
        chosen: The version of most requests; None if none is good enough.
        cascade: A cascade that ends with the chosen version, if worthwhile.
        explorable: Versions that are worth exploring, the first one first.
        reason: Explanation of the choice, for operators.
    """

    generation: int
    candidates: tuple[Candidate, ...]
    canaries: tuple[Candidate, ...]
    chosen: Candidate | None
    cascade: Cascade | None
    explorable: tuple[Candidate, ...]
    reason: str


class AdaptivePlanner:
    """Selects the cheapest version that meets the target, and explores.

    Args:
        configuration: Configuration in force.
        estimates: Quality estimates of the versions.
        canary_policy: Decides which requests go to versions in a rollout.
        randomness: Source of the draws for exploration.
        exploration: Fraction of requests that may explore.
        check: Checks the answers of a cascade's cheap version.
    """

    def __init__(
        self,
        configuration: Configuration,
        estimates: Estimates,
        canary_policy: CanaryPolicy,
        randomness: random.Random,
        exploration: float = EXPLORATION_FRACTION,
        check: AnswerCheck | None = None,
    ) -> None:
        self._configuration = configuration
        self._estimates = estimates
        self._canary_policy = canary_policy
        self._randomness = randomness
        self._exploration = exploration
        self._check = NoCheck() if check is None else check
        self._cache: dict[_CacheKey, _Evaluation] = {}
        self._accepted: AcceptedConfiguration | None = None
        self._entries_by_id: dict[VersionId, VersionEntry] = {}
        self._budget: dict[TaskName, float] = {}

    def plan(self, request: ModelRequest) -> Plan | Refusal:
        """Return a plan of one step, or of two if a cascade is worthwhile."""
        if request.session is not None:
            return self._pinned(request, request.session.version)
        evaluation = self._evaluate(request)
        canary = self._canary(request, evaluation)
        if canary is not None:
            return _plan_of(request, canary, f'canary; {evaluation.reason}')
        explored = self._explore(request, evaluation)
        if explored is not None:
            reason = f'explores {explored.entry.id}; {evaluation.reason}'
            return _plan_of(request, explored, reason)
        if evaluation.chosen is None:
            return self._refuse(request, evaluation)
        if evaluation.cascade is not None:
            return _cascade_plan(evaluation.cascade, evaluation.reason)
        return _plan_of(request, evaluation.chosen, evaluation.reason)

    def estimate(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return the check's confidence in the answer of a cascade's step."""
        return self._check.judge(request, end)

    def _evaluate(self, request: ModelRequest) -> _Evaluation:
        """Return the evaluation for a request, from the cache if current."""
        key = _CacheKey(
            request.task,
            request.target,
            request.concern,
            request.versions,
            request.prompt_tokens.bit_length(),
            request.output_tokens.bit_length(),
        )
        cached = self._cache.get(key)
        if (
            cached is not None
            and cached.generation == self._estimates.generation
        ):
            return cached
        previous = None if cached is None else cached.chosen
        evaluation = self._evaluate_versions(request, previous)
        if len(self._cache) >= _MAX_CACHED:
            self._cache.clear()
        self._cache[key] = evaluation
        return evaluation

    def _evaluate_versions(
        self,
        request: ModelRequest,
        previous: Candidate | None,
    ) -> _Evaluation:
        """Evaluate all versions that a request may use."""
        previous_id = None if previous is None else previous.entry.id
        steady: list[Candidate] = []
        canaries: list[Candidate] = []
        for entry in self._entries(request):
            candidate = self._candidate(
                request, entry, in_use=entry.id == previous_id
            )
            if entry.stage is Stage.STEADY:
                steady.append(candidate)
            elif candidate.is_eligible:
                canaries.append(candidate)
        compared = [*steady, *canaries]
        # If only versions in a rollout are allowed, the caller has named them.
        chosen = choose(steady or compared, request.target)
        return _Evaluation(
            generation=self._estimates.generation,
            candidates=tuple(steady),
            canaries=tuple(canaries),
            chosen=chosen,
            cascade=self._cascade(request, steady, chosen),
            explorable=_explorable(request, steady, chosen),
            reason=explain(request, compared, chosen),
        )

    def _cascade(
        self,
        request: ModelRequest,
        candidates: list[Candidate],
        chosen: Candidate | None,
    ) -> Cascade | None:
        """Return a worthwhile cascade that ends with the chosen version."""
        accepted = self._configuration.accepted
        if chosen is None or accepted is None:
            return None
        task = accepted.document.task(request.task)
        if task is None or not task.cascade:
            return None
        return best_cascade(request, tuple(candidates), chosen, self._check)

    def _candidate(
        self,
        request: ModelRequest,
        entry: VersionEntry,
        *,
        in_use: bool,
    ) -> Candidate:
        """Return the evaluation of one version."""
        estimate = self._estimates.estimate(entry.version, request.task)
        standing = standing_of(
            estimate,
            request.target,
            request.concern,
            in_use=in_use,
        )
        price = cost_of(entry, request.prompt_tokens, request.output_tokens)
        return Candidate(entry, estimate, standing, price, in_use)

    def _entries(self, request: ModelRequest) -> Iterator[VersionEntry]:
        """Yield the allowed versions that are not withdrawn."""
        accepted = self._configuration.accepted
        if accepted is not self._accepted:
            self._accepted = accepted
            entries = () if accepted is None else accepted.document.versions
            self._entries_by_id = {entry.version: entry for entry in entries}
        for version in request.versions:
            entry = self._entries_by_id.get(version)
            if entry is None:
                continue
            epoch = Epoch(entry.epoch)
            if not self._configuration.is_withdrawn(entry.version, epoch):
                yield entry

    def _refuse(
        self,
        request: ModelRequest,
        evaluation: _Evaluation,
    ) -> Refusal:
        """Return the refusal: versions withdrawn, or none good enough."""
        if evaluation.candidates or evaluation.canaries:
            return _no_plan(request, evaluation.reason)
        for version in request.versions:
            entry = self._entries_by_id.get(version)
            epoch = Epoch(entry.epoch) if entry else Epoch(0)
            if self._configuration.is_withdrawn(version, epoch):
                return Refusal(
                    ResultCode.VERSION_WITHDRAWN,
                    f'Version {version} has been withdrawn, and no other '
                    'allowed version is available.',
                )
        return _no_plan(request, evaluation.reason)

    def _canary(
        self,
        request: ModelRequest,
        evaluation: _Evaluation,
    ) -> Candidate | None:
        """Return a version in a rollout whose share includes the request."""
        for candidate in evaluation.canaries:
            if self._canary_policy.rule.allows(
                candidate.entry.version, request
            ):
                return candidate
        return None

    def _explore(
        self,
        request: ModelRequest,
        evaluation: _Evaluation,
    ) -> Candidate | None:
        """Return a version to explore with this request, if any.

        Each request adds the exploration fraction to the task's budget, and an
        exploration takes one from it, so that chance cannot increase the
        fraction. A version is explored if a random draw from its estimate
        meets the target.
        """
        if not evaluation.explorable:
            return None
        budget = self._budget.get(request.task, 0) + self._exploration
        self._budget[request.task] = min(budget, _MAX_BUDGET)
        if budget < _MAX_BUDGET:
            return None
        explored = self._draw(request, evaluation)
        if explored is not None:
            self._budget[request.task] -= _MAX_BUDGET
        return explored

    def _draw(
        self,
        request: ModelRequest,
        evaluation: _Evaluation,
    ) -> Candidate | None:
        """Return the first explorable version whose draw meets the target."""
        if evaluation.chosen is None:
            return evaluation.explorable[0]
        for candidate in evaluation.explorable:
            estimate = candidate.estimate
            drawn = self._randomness.gauss(estimate.mean, estimate.error)
            if drawn >= request.target:
                return candidate
        return None

    def _pinned(
        self,
        request: ModelRequest,
        version: VersionId,
    ) -> Plan | Refusal:
        """Return the plan that pins a session to its version."""
        entry = self._configuration.version_entry(version)
        if entry is None:
            return _no_plan(request, f'the session keeps {version}')
        candidate = self._candidate(request, entry, in_use=True)
        return _plan_of(request, candidate, 'the session keeps its version')


def _explorable(
    request: ModelRequest,
    candidates: list[Candidate],
    chosen: Candidate | None,
) -> tuple[Candidate, ...]:
    """Return the versions that are worth exploring, the cheapest first.

    These are the versions cheaper than the chosen one whose estimates are
    uncertain. If no version is good enough, it is the best one: without any
    requests, no rating would ever show that it is good again.
    """
    if request.concern is Concern.EXPOSURE or not candidates:
        return ()
    if chosen is None:
        return (max(candidates, key=_mean_of),)
    found = [
        candidate
        for candidate in candidates
        if candidate.price < chosen.price
        and candidate.standing is Standing.UNDECIDED
        and candidate.estimate.error > _MIN_ERROR
    ]
    return tuple(sorted(found, key=lambda candidate: candidate.price))


def _mean_of(candidate: Candidate) -> float:
    """Return the estimated mean quality of a candidate."""
    return candidate.estimate.mean


def _plan_of(request: ModelRequest, candidate: Candidate, reason: str) -> Plan:
    """Return the plan that requests one version."""
    entry = candidate.entry
    return Plan(
        steps=(entry.version,),
        accept=(),
        cost=cost_of(entry, request.prompt_tokens, request.output_tokens),
        quality=candidate.estimate.lower,
        reason=reason,
    )


def _cascade_plan(cascade: Cascade, reason: str) -> Plan:
    """Return the plan that requests the cheap version first."""
    return Plan(
        steps=(cascade.cheap.entry.version, cascade.expensive.entry.version),
        accept=(PASS_THRESHOLD,),
        cost=cascade.cost,
        quality=cascade.quality,
        reason=f'cascade, pass rate {cascade.power.pass_rate:.2f}; {reason}',
    )


def _no_plan(request: ModelRequest, reason: str) -> Refusal:
    """Return the refusal for lack of a version that is good enough."""
    return Refusal(
        ResultCode.NO_PLAN,
        f'No allowed version meets the target {request.target:g} of the task '
        f'{request.task!r}: {reason}.',
        retry_after=_RETRY_AFTER,
    )
