"""Whether signals at hand tell good answers from bad on the stand-ins.

Run ``python -m experiments.trials.check_power``. For each signal it prints
which share of answers it flags, and the mean quality of the flagged and of the
others. A signal has power if the two differ by more than chance.
"""

import sys
from collections.abc import Callable
from math import sqrt
from statistics import fmean, pstdev
from typing import Final

from fakes.answers import AnswerPlan, Prompt, plan_answer

ANSWERS: Final = 4000
MEANS: Final = (0.78, 0.9)
_LIMIT: Final = 100
_SHORT: Final = 30
_LONG: Final = 95
_PHRASES: Final = ('cannot', 'sorry', 'unable')

Signal = Callable[[AnswerPlan], bool]

SIGNALS: Final[dict[str, Signal]] = {
    'finish reason is length': lambda plan: plan.reason == 'length',
    'unusually short': lambda plan: len(plan.words) < _SHORT,
    'unusually long': lambda plan: len(plan.words) > _LONG,
    'a phrase of refusal': lambda plan: any(
        phrase in plan.words for phrase in _PHRASES
    ),
}


def main() -> None:
    """Print a line for each mean quality and signal."""
    prompt = Prompt('m@1', 'tag', ('a', 'prompt'), None, _LIMIT, streams=True)
    for mean in MEANS:
        plans = [
            plan_answer(prompt, mean, 1, f'a{number}')
            for number in range(ANSWERS)
        ]
        for name, flags in SIGNALS.items():
            sys.stdout.write(f'{mean:.2f} {name:24} {_weigh(plans, flags)}\n')


def _weigh(plans: list[AnswerPlan], flags: Signal) -> str:
    """Return how flagged answers compare with the others."""
    flagged = [plan.quality for plan in plans if flags(plan)]
    others = [plan.quality for plan in plans if not flags(plan)]
    if not flagged:
        return 'flags none'
    gap = fmean(others) - fmean(flagged)
    error = pstdev(others) * sqrt(1 / len(flagged) + 1 / len(others))
    return (
        f'flags {len(flagged) / len(plans):.3f}, quality '
        f'{fmean(flagged):.4f} against {fmean(others):.4f}, '
        f'gap {gap / error:+.1f} standard errors'
    )


if __name__ == '__main__':
    main()
