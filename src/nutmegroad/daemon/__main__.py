"""Runs the daemon, for ``python -m nutmegroad.daemon``."""

import sys

from nutmegroad.daemon.program import main

if __name__ == '__main__':
    sys.exit(main())
