"""The memory that this process uses."""

from pathlib import Path
from typing import Final

_BYTES_PER_KB: Final = 1024


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if unknown."""
    try:
        text = Path('/proc/self/status').read_text(encoding='ascii')
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * _BYTES_PER_KB
    return 0
