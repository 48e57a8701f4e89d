"""The part that lets roll-outs bound the trials of the planner."""

from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.quality.trials import Trials
from nutmegroad.rollouts.rollout_shares import RolloutShares


@register('part', 'trials')
class TrialsPart:
    """Has the planner follow the shares of roll-outs."""

    needs = (RolloutShares, Trials)

    async def open(self, kernel: Kernel) -> None:
        """Replace the rule that knows the preset alone."""
        kernel.need(Trials).rule = kernel.need(RolloutShares)
