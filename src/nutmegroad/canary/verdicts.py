"""Verdict on a new version: its answers show that it is bad, good, or neither.

An answer is poor if it failed, was cut off or came far too slowly.

Both errors are costly. A bad version that is kept breaks a promise to callers.
A good version that is rolled back is work for its operator, who has to order it
once more. A version therefore succeeds only if its answers show that it is
worse than the old version by no more than a margin. Without such evidence it
does not succeed.

Both verdicts rest on sequential tests of counts by kind of request. They
compare with the old version's answers of the same kind at the same time.
"""

import math
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

from nutmegroad.fleet.evidence import (
    NO_ANSWERS,
    Answers,
    KindNumber,
    sum_answers,
)
from nutmegroad.foundations.likelihoods import (
    ClampedLogRatio,
    MixtureCusum,
    log_likelihood_ratio,
)

#: Minimum of the fraction of poor answers that a good version may have.
#: Crashes and lost answers make answers poor whatever the version is.
MIN_EXPECTED: Final = 0.08

#: A good version may have the old version's fraction of poor answers times
#: this factor plus this offset, because the old version has more upstreams to
#: average over. The excess is limited to a difference that a caller would
#: notice.
EXPECTED_FACTOR: Final = 2.0
EXPECTED_OFFSET: Final = 0.03
MAX_ABOVE_BASELINE: Final = 0.12

#: Maximum fraction of poor answers of the old version that is assumed; above
#: it a comparison shows nothing.
MAX_BASELINE: Final = 0.5

#: Poor answers below which no version counts as bad.
MIN_POOR: Final = 3

#: Fractions of a good version's acceptable answers that bad versions are
#: assumed to spoil: one slight and one severe degradation.
DEGRADATIONS: Final = (0.2, 0.6)

#: One in this many good versions is halted by chance; the operator orders it
#: once more.
FALSE_HALT_ODDS: Final = 500

#: Fraction of the old version's acceptable answers that a new version may spoil
#: without detection. A smaller margin takes more answers than the operators'
#: exposure bounds leave room for.
MARGIN: Final = 0.2

#: One in this many versions that are worse by more than the margin succeeds.
FALSE_SUCCESS_ODDS: Final = 150

#: Margin and odds for a version that is bad for one kind of request only. Few
#: answers of one kind arrive in time, so only a severe fault of one kind can be
#: detected, and with less certainty.
KIND_MARGIN: Final = 0.5
KIND_FALSE_SUCCESS_ODDS: Final = 12

#: Fraction of a service's answers from which a kind of request must be shown to
#: be good by itself. Of rarer kinds too few answers arrive in time.
COMMON_FRACTION: Final = 0.1

#: The assurance is a log-likelihood ratio that grows with answers that speak
#: for a version. The bounds limit how far it may exceed the required level,
#: and how far it may fall below 0. With a higher maximum, a version that turns
#: bad late would be kept for its earlier answers. With a lower minimum, a good
#: version could not recover from a disturbance.
MAX_EXCESS: Final = 3.0
MIN_ASSURANCE: Final = -4.0

#: Answers of the old version, and how many of them are poor, that are assumed
#: before any were seen.
PRIOR_ANSWERS: Final = 10.0
PRIOR_POOR: Final = 0.3

#: Minimum fraction of poor answers of the old version: one in fifty fails by
#: chance, and with a fraction of 0 a single poor answer would be proof.
MIN_BASELINE: Final = 0.02

#: Number of new answers of the old version that halve the weight of earlier
#: ones in the recent counts: some seconds of one kind of request.
RECENT_HALF_LIFE: Final = 40.0

_HALF: Final = 0.5


@unique
class Verdict(Enum):
    """What a new version's answers show."""

    BAD = 'bad'
    GOOD = 'good'
    INCONCLUSIVE = 'not shown'


class _KindTests:
    """Counts and tests of one kind of request."""

    def __init__(self) -> None:
        level = math.log(KIND_FALSE_SUCCESS_ODDS)
        self.seen = NO_ANSWERS
        self.against = MixtureCusum(len(DEGRADATIONS))
        self.assurance = ClampedLogRatio(MIN_ASSURANCE, level + MAX_EXCESS)
        self._recent: float = 0
        self._recent_poor: float = 0

    @property
    def baseline(self) -> float:
        """Present fraction of poor answers of the old version.

        A disturbance affects both versions, so the recent fraction counts if it
        is higher than the fraction of the whole rollout.
        """
        seen = self.seen
        share = (seen.old_poor + PRIOR_POOR) / (seen.old + PRIOR_ANSWERS)
        recent = self._recent_poor / max(self._recent, PRIOR_ANSWERS)
        return min(MAX_BASELINE, max(MIN_BASELINE, share, recent))

    @property
    def expected(self) -> float:
        """Fraction of poor answers that a good version may have."""
        baseline = self.baseline
        grown = EXPECTED_FACTOR * baseline + EXPECTED_OFFSET
        return max(MIN_EXPECTED, min(grown, baseline + MAX_ABOVE_BASELINE))

    def replace_sums(self, seen: Answers) -> Answers:
        """Replace the sums, and return the answers that were added."""
        fresh = seen.plus(self.seen, -1)
        self.seen = seen
        decay = _HALF ** (max(0, fresh.old) / RECENT_HALF_LIFE)
        self._recent = self._recent * decay + fresh.old
        self._recent_poor = self._recent_poor * decay + fresh.old_poor
        return fresh


class Judgement:
    """Tests a new version's answers against the old version's."""

    def __init__(self) -> None:
        level = math.log(FALSE_SUCCESS_ODDS)
        self._kinds: dict[KindNumber, _KindTests] = {}
        self._against = MixtureCusum(len(DEGRADATIONS))
        self._assurance = ClampedLogRatio(MIN_ASSURANCE, level + MAX_EXCESS)

    @property
    def totals(self) -> Answers:
        """All answers that were counted."""
        return sum_answers(kind.seen for kind in self._kinds.values())

    def update(self, sums: Mapping[KindNumber, Answers]) -> None:
        """Update the tests with the present sums of all hosts."""
        for number, seen in sums.items():
            kind = self._kinds.setdefault(number, _KindTests())
            answers = seen.only_answers()
            if kind.seen != answers:
                self._update_kind(kind, kind.replace_sums(answers))

    def verdict(self, groups: int = 1) -> Verdict:
        """Return what the answers show.

        Args:
            groups: Number of groups of hosts that judge by their own parts of
                the answers; each could err.
        """
        if self._is_bad(groups):
            return Verdict.BAD
        required = math.log(FALSE_SUCCESS_ODDS * groups)
        if self._assurance.strength < min(required, self._max_assurance):
            return Verdict.INCONCLUSIVE
        minimum = self.totals.old * COMMON_FRACTION
        level = math.log(KIND_FALSE_SUCCESS_ODDS)
        for kind in self._kinds.values():
            if kind.seen.old >= minimum and kind.assurance.strength < level:
                return Verdict.INCONCLUSIVE
        return Verdict.GOOD

    def reason(self) -> str:
        """Return one line with the figures behind the verdict."""
        totals = self.totals
        weakest = min(
            (kind.assurance.strength for kind in self._kinds.values()),
            default=0,
        )
        return (
            f'{totals.new_poor} of {totals.new} poor, '
            f'before {totals.old_poor} of {totals.old}; '
            f'for {self._assurance.strength:.1f}, '
            f'least of a kind {weakest:.1f}, '
            f'against {self._strongest_evidence():.1f}'
        )

    @property
    def _max_assurance(self) -> float:
        """Maximum of the assurance."""
        return math.log(FALSE_SUCCESS_ODDS) + MAX_EXCESS

    def _update_kind(self, kind: _KindTests, fresh: Answers) -> None:
        """Update the tests with new answers of one kind."""
        poor = fresh.new_poor
        good = fresh.new - poor
        if not fresh.new:
            return
        baseline, expected = kind.baseline, kind.expected
        against = [
            log_likelihood_ratio(
                poor, good, _degraded(expected, fraction), expected
            )
            for fraction in DEGRADATIONS
        ]
        self._against.add(against)
        kind.against.add(against)
        slight = _degraded(baseline, MARGIN)
        self._assurance.add(log_likelihood_ratio(poor, good, baseline, slight))
        severe = _degraded(baseline, KIND_MARGIN)
        kind.assurance.add(log_likelihood_ratio(poor, good, baseline, severe))

    def _is_bad(self, groups: int) -> bool:
        """Return whether the answers show that the version is bad."""
        if self.totals.new_poor < MIN_POOR:
            return False
        tests = groups * (1 + len(self._kinds))
        return self._strongest_evidence() >= math.log(FALSE_HALT_ODDS * tests)

    def _strongest_evidence(self) -> float:
        """Return the strength of the strongest evidence against the version."""
        tests = [kind.against.strength for kind in self._kinds.values()]
        return max((self._against.strength, *tests))


def _degraded(poor: float, fraction: float) -> float:
    """Return the fraction of poor answers of a degraded version.

    Args:
        poor: Fraction of poor answers without the degradation.
        fraction: Fraction of the other answers that the degradation spoils.
    """
    return poor + fraction * (1 - poor)
