"""The adaptive planner: the cheapest version whose quality is enough.

It follows the ratings (see ``estimates``), and spends a small share of the
traffic on versions that would save cost if they turned out to be good. The
work for a workspace, task class and target is kept until an estimate or
the configuration changes.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.in_force import Accepted, Configuration
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
from nutmegroad.quality.cascades import (
    PASSED,
    AnswerCheck,
    Cascade,
    NoCheck,
    best_cascade,
)
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.prices import cost_of
from nutmegroad.quality.trials import Trials

#: Share of a task's requests that may try a cheaper, uncertain version.
EXPLORED: Final = 0.02
#: Requests that may wait to explore; bounds a burst after a quiet time.
_MOST_BUDGET: Final = 1.0
#: Workspaces, tasks and targets whose plans are kept.
_MOST_KEPT: Final = 4096
#: The least standard error with which a version is tried.
_LEAST_DOUBT: Final = 0.002
#: Seconds for which a refusal for lack of a plan stands.
_COME_BACK: Final = 30.0


@dataclass(frozen=True, slots=True)
class _Key:
    """What requests have in common that are planned alike.

    Which version is cheaper may turn on the lengths, so these are in it
    too, as powers of two.
    """

    task: TaskName
    target: float
    concern: Concern
    versions: tuple[VersionId, ...]
    prompt_size: int
    output_size: int


@dataclass(slots=True)
class _Prepared:
    """The work that is kept for a key.

    Attributes:
        stamp: The estimates that it was done with.
        candidates: Steady versions.
        trials: Versions in roll-out that may turn out to be good.
        chosen: What most requests get.
        cascade: A cheaper version before that one; None for none.
        hopeful: Cheaper versions that may turn out to be good.
        reason: Why, in words.
    """

    stamp: int
    candidates: tuple[Candidate, ...]
    trials: tuple[Candidate, ...]
    chosen: Candidate | None
    cascade: Cascade | None
    hopeful: tuple[Candidate, ...]
    reason: str


class AdaptivePlanner:
    """Takes the cheapest version whose lower bound meets the target.

    Args:
        configuration: What is in force.
        estimates: What is believed of versions.
        trials: Bounds versions in roll-out.
        randomness: Draws trials.
        explored: Share of requests that may explore.
        check: Judges the cheap answers of cascades.
    """

    def __init__(
        self,
        configuration: Configuration,
        estimates: Estimates,
        trials: Trials,
        randomness: random.Random,
        explored: float = EXPLORED,
        check: AnswerCheck | None = None,
    ) -> None:
        self._configuration = configuration
        self._estimates = estimates
        self._trials = trials
        self._randomness = randomness
        self._explored = explored
        self._check = NoCheck() if check is None else check
        self._kept: dict[_Key, _Prepared] = {}
        self._accepted: Accepted | None = None
        self._entries_by_id: dict[VersionId, VersionEntry] = {}
        self._budget: dict[TaskName, float] = {}

    def plan(self, request: ModelRequest) -> Plan | Refusal:
        """Return a plan of one step."""
        if request.session is not None:
            return self._pinned(request, request.session.version)
        prepared = self._prepare(request)
        trial = self._trial(request, prepared)
        if trial is not None:
            return _plan(request, trial, f'trial; {prepared.reason}')
        explored = self._explore(request, prepared)
        if explored is not None:
            words = f'explores {explored.entry.id}; {prepared.reason}'
            return _plan(request, explored, words)
        if prepared.chosen is None:
            return self._refuse(request, prepared)
        if prepared.cascade is not None:
            return _stepped(prepared.cascade, prepared.reason)
        return _plan(request, prepared.chosen, prepared.reason)

    def estimate(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return how sure the check is of a cascade's cheap answer."""
        return self._check.judge(request, end)

    def _prepare(self, request: ModelRequest) -> _Prepared:
        """Return the work for a request, done anew if anything changed."""
        key = _Key(
            request.task,
            request.target,
            request.concern,
            request.versions,
            request.prompt_tokens.bit_length(),
            request.output_tokens.bit_length(),
        )
        known = self._kept.get(key)
        if known is not None and known.stamp == self._estimates.stamp:
            return known
        before = None if known is None else known.chosen
        prepared = self._weigh(request, before)
        if len(self._kept) >= _MOST_KEPT:
            self._kept.clear()
        self._kept[key] = prepared
        return prepared

    def _weigh(
        self,
        request: ModelRequest,
        before: Candidate | None,
    ) -> _Prepared:
        """Weigh all versions that a request may use."""
        used = None if before is None else before.entry.id
        steady: list[Candidate] = []
        trials: list[Candidate] = []
        for entry in self._entries(request):
            candidate = self._candidate(request, entry, in_use=entry.id == used)
            if entry.stage is Stage.STEADY:
                steady.append(candidate)
            elif candidate.believed:
                trials.append(candidate)
        everyone = [*steady, *trials]
        # A caller that names only versions in roll-out means just these.
        chosen = choose(steady or everyone, request.target)
        return _Prepared(
            stamp=self._estimates.stamp,
            candidates=tuple(steady),
            trials=tuple(trials),
            chosen=chosen,
            cascade=self._cascade(request, steady, chosen),
            hopeful=_hopeful(request, steady, chosen),
            reason=explain(request, everyone, chosen),
        )

    def _cascade(
        self,
        request: ModelRequest,
        candidates: list[Candidate],
        chosen: Candidate | None,
    ) -> Cascade | None:
        """Return a cascade that ends with the chosen version, if one pays."""
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
        """Weigh one version."""
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
        """Yield the versions that may answer and are not withdrawn."""
        accepted = self._configuration.accepted
        if accepted is not self._accepted:
            self._accepted = accepted
            known = () if accepted is None else accepted.document.versions
            self._entries_by_id = {entry.version: entry for entry in known}
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
        prepared: _Prepared,
    ) -> Refusal:
        """Say why there is no plan: nothing is left, or nothing is enough."""
        if prepared.candidates or prepared.trials:
            return _no_plan(request, prepared.reason)
        for version in request.versions:
            entry = self._entries_by_id.get(version)
            epoch = Epoch(entry.epoch) if entry else Epoch(0)
            if self._configuration.is_withdrawn(version, epoch):
                return Refusal(
                    ResultCode.VERSION_WITHDRAWN,
                    f'The version {version} has been withdrawn, and no other '
                    'one may answer.',
                )
        return _no_plan(request, prepared.reason)

    def _trial(
        self,
        request: ModelRequest,
        prepared: _Prepared,
    ) -> Candidate | None:
        """Return a version in roll-out if this request is one of its share."""
        for candidate in prepared.trials:
            if self._trials.rule.allows(candidate.entry.version, request):
                return candidate
        return None

    def _explore(
        self,
        request: ModelRequest,
        prepared: _Prepared,
    ) -> Candidate | None:
        """Return a cheaper version that is worth a try now, if any.

        Each request adds a little to a budget and a try costs one, so that no
        run of luck makes the share larger. A version is tried if a draw
        from what is believed of it meets the target.
        """
        if not prepared.hopeful:
            return None
        budget = self._budget.get(request.task, 0) + self._explored
        self._budget[request.task] = min(budget, _MOST_BUDGET)
        if budget < _MOST_BUDGET:
            return None
        tried = self._draw(request, prepared)
        if tried is not None:
            self._budget[request.task] -= _MOST_BUDGET
        return tried

    def _draw(
        self,
        request: ModelRequest,
        prepared: _Prepared,
    ) -> Candidate | None:
        """Draw from what is believed of each version that may be tried."""
        if prepared.chosen is None:
            return prepared.hopeful[0]
        for candidate in prepared.hopeful:
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
        """Return the plan that keeps a session on its version."""
        entry = self._configuration.entry(version)
        if entry is None:
            return _no_plan(request, f'the session keeps {version}')
        candidate = self._candidate(request, entry, in_use=True)
        return _plan(request, candidate, 'the session keeps its version')


def _hopeful(
    request: ModelRequest,
    candidates: list[Candidate],
    chosen: Candidate | None,
) -> tuple[Candidate, ...]:
    """Return versions that are worth a try, the first one first.

    These are the cheaper ones of which too little is known. Where no
    version is good enough it is the best one: were it never tried, no
    rating would ever tell that it is good again.
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
        and candidate.estimate.error > _LEAST_DOUBT
    ]
    return tuple(sorted(found, key=lambda candidate: candidate.price))


def _mean_of(candidate: Candidate) -> float:
    """Return the middle of what is believed of a candidate."""
    return candidate.estimate.mean


def _plan(request: ModelRequest, candidate: Candidate, reason: str) -> Plan:
    """Return the plan that asks one version."""
    entry = candidate.entry
    return Plan(
        steps=(entry.version,),
        accept=(),
        cost=cost_of(entry, request.prompt_tokens, request.output_tokens),
        quality=candidate.estimate.lower,
        reason=reason,
    )


def _stepped(cascade: Cascade, reason: str) -> Plan:
    """Return the plan that tries the cheap version first."""
    return Plan(
        steps=(cascade.cheap.entry.version, cascade.dear.entry.version),
        accept=(PASSED,),
        cost=cascade.cost,
        quality=cascade.quality,
        reason=f'cascade, passed {cascade.power.passed:.2f}; {reason}',
    )


def _no_plan(request: ModelRequest, reason: str) -> Refusal:
    """Say that no version is good enough."""
    return Refusal(
        ResultCode.NO_PLAN,
        f'No version that may answer meets the target {request.target:g} of '
        f'the task {request.task!r}: {reason}.',
        retry_after=_COME_BACK,
    )
