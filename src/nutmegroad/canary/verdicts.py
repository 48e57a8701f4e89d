"""What the answers of a new version show: that it is bad, or good, or neither.

Both errors cost. A bad version that is kept breaks a promise to callers; a
good one that is given up is work for its operator, who orders it once more.
So a version succeeds only if its answers show that it is no worse than the old
one by more than a margin, and what is not shown is not done.

Both are sequential tests on counts by kind of request, against what the old
version's answers of the same kind are like at the same time.
"""

import math
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

from nutmegroad.fleet.evidence import (
    NO_ANSWERS,
    Answers,
    KindNumber,
    summed,
)
from nutmegroad.foundations.likelihoods import Assurance, Wealth, log_ratio

#: Share of poor answers that a good version may have by bad luck of its
#: hosts: crashes and lost answers befall the old one too.
EXPECTED_LEAST: Final = 0.08

#: How the share that is expected follows the old version's: twice, and a
#: little, since the old one has more upstreams to average over; but by no more
#: than a difference that a caller would notice.
EXPECTED_TIMES: Final = 2.0
EXPECTED_MORE: Final = 0.03
EXPECTED_ABOVE: Final = 0.12

#: Share of poor answers of an old version above which nothing can be told by
#: comparing.
MOST_USUAL: Final = 0.5

#: Poor answers below which no version is taken for bad.
FEWEST_POOR: Final = 3

#: Parts of what is sound in a good version that bad ones are taken to spoil:
#: one slight and one grave kind of badness.
SPOILED: Final = (0.2, 0.6)

#: One good version among so many is halted by chance; an operator orders it
#: once more.
HALTED_WRONGLY: Final = 500

#: Part of the old version's sound answers that a new one may spoil without that
#: being found. Less takes more answers to show than the operators' bounds on
#: exposure leave room for.
MARGIN: Final = 0.2

#: One version that is worse by more than the margin, among so many, succeeds.
SUCCEEDS_WRONGLY: Final = 150

#: The same for a version that is bad for one kind of request only: few answers
#: of one kind are seen in time, so only a grave fault of one kind can be told,
#: and with less certainty.
MARGIN_OF_KIND: Final = 0.5
SUCCEEDS_WRONGLY_OF_KIND: Final = 12

#: Share of a service's answers from which a kind of request must be shown to
#: be sound by itself; of rarer ones too few answers come in any time.
COMMON: Final = 0.1

#: How far assurance may go beyond what is asked, and below nothing. Beyond it,
#: a version that turns bad late would live on what it was; below it, a good one
#: could not make up for a disturbance.
ABOVE: Final = 3.0
BELOW: Final = -4.0

#: Answers of the old version, and how many of them are poor, that are taken for
#: granted before any were seen.
PRIOR: Final = 10.0
PRIOR_POOR: Final = 0.3

#: Least share of poor answers of an old version: one in fifty breaks by chance,
#: and a share of nothing would make one poor answer proof.
LEAST_USUAL: Final = 0.02

#: Answers of the old version in which half of what is recent is forgotten: some
#: seconds of one kind of request.
RECENT: Final = 40.0

_HALF: Final = 0.5


@unique
class Verdict(Enum):
    """What the answers show."""

    BAD = 'bad'
    GOOD = 'good'
    NOT_SHOWN = 'not shown'


class _Kind:
    """What is known of one kind of request."""

    def __init__(self) -> None:
        level = math.log(SUCCEEDS_WRONGLY_OF_KIND)
        self.seen = NO_ANSWERS
        self.against = Wealth(len(SPOILED))
        self.assurance = Assurance(BELOW, level + ABOVE)
        self._recent: float = 0
        self._recent_poor: float = 0

    @property
    def usual(self) -> float:
        """Return the share of poor answers that the old version has now.

        A disturbance befalls both versions, so the recent share counts where
        it is higher than the share of the whole roll-out.
        """
        seen = self.seen
        share = (seen.old_poor + PRIOR_POOR) / (seen.old + PRIOR)
        recent = self._recent_poor / max(self._recent, PRIOR)
        return min(MOST_USUAL, max(LEAST_USUAL, share, recent))

    @property
    def expected(self) -> float:
        """Return the share of poor answers that a good version may have."""
        usual = self.usual
        grown = EXPECTED_TIMES * usual + EXPECTED_MORE
        return max(EXPECTED_LEAST, min(grown, usual + EXPECTED_ABOVE))

    def take(self, seen: Answers) -> Answers:
        """Take in the sum of what was seen, and return what is new in it."""
        fresh = seen.plus(self.seen, -1)
        self.seen = seen
        fade = _HALF ** (max(0, fresh.old) / RECENT)
        self._recent = self._recent * fade + fresh.old
        self._recent_poor = self._recent_poor * fade + fresh.old_poor
        return fresh


class Judgement:
    """Weighs a new version's answers against the old one's."""

    def __init__(self) -> None:
        level = math.log(SUCCEEDS_WRONGLY)
        self._kinds: dict[KindNumber, _Kind] = {}
        self._against = Wealth(len(SPOILED))
        self._assurance = Assurance(BELOW, level + ABOVE)

    @property
    def whole(self) -> Answers:
        """Return all answers that were taken in."""
        return summed(kind.seen for kind in self._kinds.values())

    def take(self, sums: Mapping[KindNumber, Answers]) -> None:
        """Take in what all hosts have seen up to now."""
        for number, seen in sums.items():
            kind = self._kinds.setdefault(number, _Kind())
            if kind.seen != seen:
                self._weigh(kind, kind.take(seen))

    def verdict(self, views: int = 1) -> Verdict:
        """Return what the answers show.

        Args:
            views: How many groups of hosts judge by parts of the answers of
                their own; each could err.
        """
        if self._is_bad(views):
            return Verdict.BAD
        asked = math.log(SUCCEEDS_WRONGLY * views)
        if self._assurance.strength < min(asked, self._highest):
            return Verdict.NOT_SHOWN
        least = self.whole.old * COMMON
        level = math.log(SUCCEEDS_WRONGLY_OF_KIND)
        for kind in self._kinds.values():
            if kind.seen.old >= least and kind.assurance.strength < level:
                return Verdict.NOT_SHOWN
        return Verdict.GOOD

    def reason(self) -> str:
        """Return one line on what the verdict rests on."""
        whole = self.whole
        weakest = min(
            (kind.assurance.strength for kind in self._kinds.values()),
            default=0,
        )
        return (
            f'{whole.new_poor} of {whole.new} poor, '
            f'before {whole.old_poor} of {whole.old}; '
            f'for {self._assurance.strength:.1f}, '
            f'least of a kind {weakest:.1f}, '
            f'against {self._strongest():.1f}'
        )

    @property
    def _highest(self) -> float:
        """Return the most assurance that there can be."""
        return math.log(SUCCEEDS_WRONGLY) + ABOVE

    def _weigh(self, kind: _Kind, fresh: Answers) -> None:
        """Let news of a kind speak for or against the new version."""
        poor = fresh.new_poor
        good = fresh.new - poor
        if not fresh.new:
            return
        usual, expected = kind.usual, kind.expected
        against = [
            log_ratio(poor, good, _spoiled(expected, part), expected)
            for part in SPOILED
        ]
        self._against.add(against)
        kind.against.add(against)
        slight = _spoiled(usual, MARGIN)
        self._assurance.add(log_ratio(poor, good, usual, slight))
        grave = _spoiled(usual, MARGIN_OF_KIND)
        kind.assurance.add(log_ratio(poor, good, usual, grave))

    def _is_bad(self, views: int) -> bool:
        """Tell whether the answers show that the version is bad."""
        if self.whole.new_poor < FEWEST_POOR:
            return False
        tests = views * (1 + len(self._kinds))
        return self._strongest() >= math.log(HALTED_WRONGLY * tests)

    def _strongest(self) -> float:
        """Return the strongest that speaks against the version."""
        tests = [kind.against.strength for kind in self._kinds.values()]
        return max((self._against.strength, *tests))


def _spoiled(poor: float, part: float) -> float:
    """Return the share of poor answers if a part of the sound ones is, too."""
    return poor + part * (1 - poor)
