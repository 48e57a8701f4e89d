"""Tests that the pages' examples run and that their tables are up to date.

An example is run if its first line is ``# runs beside `make serve```. It gets
a deployment of stand-ins, and the environment variables that ``make serve``
prints.
"""

import asyncio
import os
import re
import sys
import tomllib
import unittest
from asyncio.subprocess import PIPE, STDOUT
from pathlib import Path
from tempfile import TemporaryDirectory

from experiments.deployment import start
from experiments.processes import Processes
from experiments.serve import RIG, shell_environment

import nutmegroad
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.kernel.settings_page import render_page

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / 'docs'
PAGES = (ROOT / 'README.md', *sorted(DOCS.glob('*.md')))
MARK = '# runs beside `make serve`\n'
EXAMPLE = re.compile('^```(sh|python)\n(.*?)^```', re.DOTALL | re.MULTILINE)
#: Programs that examples may call, and the modules that implement them.
PROGRAMS = {'nutmegroad': 'nutmegroad.cli', 'nutmegroadd': 'nutmegroad.daemon'}


def examples() -> list[tuple[str, str]]:
    """Return language and text of the examples to run, page by page."""
    return [
        (language, example)
        for page in PAGES
        for language, example in EXAMPLE.findall(page.read_text())
        if example.startswith(MARK)
    ]


class TablesTest(unittest.TestCase):
    def test_the_settings_page_is_up_to_date(self) -> None:
        self.assertEqual((DOCS / 'SETTINGS.md').read_text(), render_page())

    def test_every_metric_is_in_the_operators_page(self) -> None:
        page = (DOCS / 'OPERATING.md').read_text()
        rendered = Metrics(float).render().decode()
        names = re.findall(r'^# TYPE (\w+)', rendered, re.MULTILINE)
        for name in names:
            with self.subTest(metric=name):
                self.assertIn(f'`{name}`', page)

    def test_links_between_pages_have_targets(self) -> None:
        for page in (*PAGES, *sorted((DOCS / 'design').glob('*.md'))):
            for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())

    def test_the_version_matches_the_project_file(self) -> None:
        project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
        self.assertEqual(project['project']['version'], nutmegroad.__version__)


class ExamplesTest(unittest.IsolatedAsyncioTestCase):
    """Runs all examples, one after another, on one deployment."""

    async def test_examples_run(self) -> None:
        processes = await self.enterAsyncContext(Processes())
        deployment = await start(processes, RIG)
        folder = self.enterContext(TemporaryDirectory())
        for name, module in PROGRAMS.items():
            program = Path(folder) / name
            program.write_text(
                f'#!/bin/sh\nexec {sys.executable} -m {module} "$@"\n'
            )
            program.chmod(0o755)
        environ = {
            **os.environ,
            **shell_environment(deployment),
            'PATH': f'{folder}{os.pathsep}{os.environ["PATH"]}',
            'PYTHONPATH': f'{ROOT / "src"}{os.pathsep}{ROOT}',
        }
        runnable = examples()
        self.assertGreaterEqual(len(runnable), 6)
        for language, example in runnable:
            with self.subTest(example=example):
                await self.run_example(language, example, environ)

    async def run_example(
        self,
        language: str,
        example: str,
        environ: dict[str, str],
    ) -> None:
        """Run an example; it must exit with 0 within 60 seconds."""
        command = (sys.executable, '-c', example)
        if language == 'sh':
            command = ('bash', '-euc', example)
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environ,
            stdout=PIPE,
            stderr=STDOUT,
        )
        async with asyncio.timeout(60):
            output, _ = await process.communicate()
        self.assertEqual(process.returncode, 0, output.decode())
