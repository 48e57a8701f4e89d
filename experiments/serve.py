"""Runs a local deployment of stand-ins until it is interrupted.

    python -m experiments.serve

It prints the environment variables that a shell needs to call the deployment,
and stops on Ctrl-C or SIGTERM.
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

#: One host in each failure domain, and engines with all versions.
RIG: Final = Rig(
    'lesen',
    (
        ('brief-small@2', 'brief-medium@4'),
        ('brief-large@6', 'brief-large@7'),
    ),
    hosts=1,
    engine_args=('--step-base=0.001', '--step-per-request=0'),
)


def shell_environment(deployment: Deployment) -> dict[str, str]:
    """Return the environment that the documentation's examples need."""
    operators = ','.join(
        str(address) for address in deployment.operator_addresses
    )
    return {
        'HOST': str(deployment.caller_addresses[0]),
        'KEY': workspace_key(deployment.document.workspaces[0].name),
        'NUTMEGROAD_OPERATORS': operators,
        'NUTMEGROAD_TOKEN': operator_token(
            deployment.document.operators[0].name
        ),
    }


async def main() -> int:
    """Run until SIGINT or SIGTERM arrives; return the exit code."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_requested.set)
    async with Processes() as processes:
        deployment = await start(processes, RIG)
        sys.stdout.write('Paste this into another shell; Ctrl-C here stops.\n')
        for name, text in shell_environment(deployment).items():
            sys.stdout.write(f"export {name}='{text}'\n")
        sys.stdout.flush()
        await stop_requested.wait()
    return 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
