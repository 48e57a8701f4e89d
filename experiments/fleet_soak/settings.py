"""Settings and environment of the hosts of a soak."""

import site
from typing import Final

#: A host's settings file; its bounds agree with those of the judges.
SETTINGS: Final = """\
nodeName={name}
zone={domain}
ip={ip}
listen.front={callers}
listen.ready={ready}
internalPorts={inside}
platform.address={store}
bounds.failClosed=true
bounds.revokeMs=5000
bounds.drainMs=2000
bounds.evacMs=2000
bounds.graceS=8
bounds.sessionS=5
bounds.configApplyMs=2000
bounds.retryBudgetRatio=0.9
bounds.budgetWindowS=10
bounds.budgetSlack=58
bounds.exposeShare=0.15
bounds.rollbackMs=5000
"""


def site_packages() -> str:
    """Return library directories, which ``-S`` does not add by itself."""
    return ':'.join(site.getsitepackages())
