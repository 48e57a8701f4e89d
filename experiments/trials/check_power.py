"""Measures whether simple signals tell good answers from bad ones.

Run ``python -m experiments.trials.check_power``. The answers are those of the
engine stand-in. For each signal, the table shows which fraction of the answers
it flags, and the mean quality of flagged and of other answers. A signal has
power if the two means differ by more than chance.
"""

import sys
from collections.abc import Callable
from math import sqrt
from statistics import fmean, pstdev
from typing import Final

from fakes.answers import AnswerPlan, Prompt, plan_answer

#: Answers drawn for each mean quality.
ANSWERS: Final = 4000
MEAN_QUALITIES: Final = (0.78, 0.9)
#: Maximum number of words of an answer.
_MAX_WORDS: Final = 100
#: Numbers of words below and above which an answer is of unusual length.
_SHORT_WORDS: Final = 30
_LONG_WORDS: Final = 95
_REFUSAL_PHRASES: Final = ('cannot', 'sorry', 'unable')

#: Returns whether an answer looks bad.
Signal = Callable[[AnswerPlan], bool]

SIGNALS: Final[dict[str, Signal]] = {
    'finish reason is length': lambda plan: plan.finish_reason == 'length',
    'unusually short': lambda plan: len(plan.words) < _SHORT_WORDS,
    'unusually long': lambda plan: len(plan.words) > _LONG_WORDS,
    'a phrase of refusal': lambda plan: any(
        phrase in plan.words for phrase in _REFUSAL_PHRASES
    ),
}


def main() -> None:
    """Print a line for each mean quality and signal."""
    prompt = Prompt(
        'm@1', 'tag', ('a', 'prompt'), None, _MAX_WORDS, streams=True
    )
    for mean in MEAN_QUALITIES:
        plans = [
            plan_answer(prompt, mean, 1, f'a{number}')
            for number in range(ANSWERS)
        ]
        for name, flags in SIGNALS.items():
            sys.stdout.write(f'{mean:.2f} {name:24} {_compare(plans, flags)}\n')


def _compare(plans: list[AnswerPlan], flags: Signal) -> str:
    """Return how the quality of flagged answers compares with the others'."""
    flagged = [plan.quality for plan in plans if flags(plan)]
    others = [plan.quality for plan in plans if not flags(plan)]
    if not flagged:
        return 'flags none'
    gap = fmean(others) - fmean(flagged)
    standard_error = pstdev(others) * sqrt(1 / len(flagged) + 1 / len(others))
    return (
        f'flags {len(flagged) / len(plans):.3f}, quality '
        f'{fmean(flagged):.4f} against {fmean(others):.4f}, '
        f'gap {gap / standard_error:+.1f} standard errors'
    )


if __name__ == '__main__':
    main()
