"""Command-line entry point: ``python -m experiments.fleet_soak``."""

import sys

from experiments.fleet_soak.program import main

if __name__ == '__main__':
    sys.exit(main())
