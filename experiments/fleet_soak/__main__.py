"""Runs the soak of the program that users run, from outside."""

import sys

from experiments.fleet_soak.program import main

if __name__ == '__main__':
    sys.exit(main())
