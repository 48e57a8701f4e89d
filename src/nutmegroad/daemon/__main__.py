"""Runs the program of this room."""

import sys

from nutmegroad.daemon.program import main

if __name__ == '__main__':
    sys.exit(main())
