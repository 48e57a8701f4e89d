"""Test case that runs soaks of a small fleet of processes."""

import io
import shutil
import tempfile
import unittest
from contextlib import redirect_stdout
from pathlib import Path

from experiments.fleet_soak.processes import ROOT
from experiments.fleet_soak.program import main

SMALL_FLEET = ('--hosts', '2', '--workers', '3')


class SoakCase(unittest.TestCase):
    """Runs soaks of the program, or of a copy with a deliberate fault."""

    def run_soak(self, *arguments: str) -> tuple[int, str]:
        """Run a soak, and return its exit status and output."""
        out = io.StringIO()
        with redirect_stdout(out):
            status = main([*SMALL_FLEET, *arguments])
        return status, out.getvalue()

    def run_patched(
        self,
        module: str,
        changes: dict[str, str],
        *arguments: str,
    ) -> tuple[int, str]:
        """Run a soak of a copy of the program with one module changed.

        Args:
            module: Path of the module.
            changes: Replacement texts by the texts that they replace.
            arguments: Arguments of the command line.
        """
        with tempfile.TemporaryDirectory() as directory:
            patched = Path(directory)
            for part in ('src', 'platform'):
                shutil.copytree(ROOT / part, patched / part)
            path = patched / module
            text = path.read_text()
            for old, new in changes.items():
                self.assertIn(old, text)
                text = text.replace(old, new)
            path.write_text(text)
            return self.run_soak(*arguments, '--program', directory)
