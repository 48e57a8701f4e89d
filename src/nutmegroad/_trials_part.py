"""The part that lets roll-outs bound the trials of the planner."""

from nutmegroad.core import Kernel
from nutmegroad.registry import register
from nutmegroad.rollout_shares import RolloutShares
from nutmegroad.trials import Trials


@register('part', 'trials')
class TrialsPart:
    """Has the planner follow the shares of roll-outs."""

    needs = (RolloutShares, Trials)

    async def open(self, kernel: Kernel) -> None:
        """Replace the rule that knows the preset alone."""
        kernel.need(Trials).rule = kernel.need(RolloutShares)
