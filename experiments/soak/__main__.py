"""Command line entry point: ``python -m experiments.soak``."""

import sys

from experiments.soak.program import main

if __name__ == '__main__':
    sys.exit(main())
