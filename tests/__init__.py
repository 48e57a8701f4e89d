"""Tests; the adapter's package is found beside the sources."""

import sys
from pathlib import Path

_PLATFORM = str(Path(__file__).resolve().parent.parent / 'platform')
if _PLATFORM not in sys.path:
    sys.path.insert(0, _PLATFORM)
