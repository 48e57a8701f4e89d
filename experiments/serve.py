"""Runs a deployment of stand-ins until it is told to stop.

    python -m experiments.serve

It prints what a shell needs to call it, and ends at Ctrl-C.
"""

import asyncio
import signal
import sys
from typing import Final

from experiments.deployment import (
    Deployment,
    Rig,
    operator_token,
    start,
    workspace_key,
)
from experiments.processes import Processes

#: One host in each failure domain, and engines with every version.
RIG: Final = Rig(
    'lesen',
    (
        ('brief-small@2', 'brief-medium@4'),
        ('brief-large@6', 'brief-large@7'),
    ),
    hosts=1,
    engine_args=('--step-base=0.001', '--step-per-request=0'),
)


def variables(running: Deployment) -> dict[str, str]:
    """Return the environment that the pages' examples want."""
    operators = ','.join(str(address) for address in running.operators)
    return {
        'HOST': str(running.callers[0]),
        'KEY': workspace_key(running.document.workspaces[0].name),
        'NUTMEGROAD_OPERATORS': operators,
        'NUTMEGROAD_TOKEN': operator_token(running.document.operators[0].name),
    }


async def main() -> int:
    """Run until a signal comes."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, told.set)
    async with Processes() as processes:
        running = await start(processes, RIG)
        sys.stdout.write('Copy this into another shell; Ctrl-C here ends it.\n')
        for name, text in variables(running).items():
            sys.stdout.write(f"export {name}='{text}'\n")
        sys.stdout.flush()
        await told.wait()
    return 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
