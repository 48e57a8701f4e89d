"""Part that bounds the planner's canary requests by the rollouts' shares."""

from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.quality.canary_policy import CanaryPolicy
from nutmegroad.rollouts.rollout_shares import RolloutShares


@register('part', 'trials')
class TrialsPart:
    """Makes the planner follow the traffic shares of rollouts."""

    needs = (RolloutShares, CanaryPolicy)

    async def open(self, kernel: Kernel) -> None:
        """Replace the default rule, which only knows the preset."""
        kernel.need(CanaryPolicy).rule = kernel.need(RolloutShares)
