"""Runs the program of this room."""

import sys

from nutmegroad.cli.program import main

if __name__ == '__main__':
    sys.exit(main())
