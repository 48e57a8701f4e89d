"""Entry point of ``python -m nutmegroad.cli``."""

import sys

from nutmegroad.cli.program import main

if __name__ == '__main__':
    sys.exit(main())
