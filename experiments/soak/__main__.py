"""Runs the soak of our own daemon, on virtual time."""

import sys

from experiments.soak.program import main

if __name__ == '__main__':
    sys.exit(main())
