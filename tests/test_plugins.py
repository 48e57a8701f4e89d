"""Plug-ins: the example of docs/PLUGINS.md runs as it stands there."""

import random
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from nutmegroad.contracts.upstreams import EngineReport
from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.exceptions import RegistryError
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import lookup, register
from nutmegroad.kernel.settings import read_settings
from nutmegroad.routing.directory import Directory

PAGE = Path(__file__).parent.parent / 'docs' / 'PLUGINS.md'
VERSION = VersionId('draft@1')
FLAGS = (
    '--host=kent-1',
    '--domain=kent-hall',
    '--callers=127.0.0.1:0',
    '--operators=127.0.0.1:0',
    '--peers=127.0.0.1:0',
    '--platform=127.0.0.1:9',
)
SECRETS = {'NUTMEGROAD_CLUSTER_KEY': 'a key for the tests alone'}


def example() -> str:
    """Return the page's Python example."""
    return PAGE.read_text().partition('```python\n')[2].partition('```')[0]


def engine(name: str) -> UpstreamInfo:
    """Return a listed engine."""
    return UpstreamInfo(
        UpstreamId(name),
        DomainId('kent-hall'),
        UpstreamKind.ENGINE,
        Address('127.0.0.1', 1),
    )


class PluginsTest(unittest.TestCase):
    def import_example(self) -> None:
        folder = self.enterContext(TemporaryDirectory())
        (Path(folder) / 'first_listed.py').write_text(example())
        self.enterContext(patch.object(sys, 'path', [folder, *sys.path]))
        load_plugins(('first_listed',))

    def test_the_example_registers_a_selector_that_works(self) -> None:
        self.import_example()
        settings, _ = read_settings(FLAGS, SECRETS)
        kernel = Kernel(settings, SystemClock(), random.Random(1))
        directory = Directory(kernel.clock)
        kernel.provide(Directory, directory)
        directory.update((engine('b'), engine('a')))
        report = EngineReport((VERSION,), 0, 0, 8, False, True)
        for name in ('a', 'b'):
            directory.reported(UpstreamId(name), report)
        selector: Any = lookup('selector', 'first-listed')(kernel)
        nothing: frozenset[UpstreamId] = frozenset()
        choice = selector.choose(None, VERSION, nothing)
        self.assertEqual('a', choice.state.info.upstream)
        both = frozenset((UpstreamId('a'), UpstreamId('b')))
        self.assertIsInstance(selector.choose(None, VERSION, both), Refusal)

    def test_an_unknown_name_is_refused_with_the_choices(self) -> None:
        load_plugins()
        with self.assertRaisesRegex(RegistryError, 'cheapest'):
            lookup('planner', 'dearest-of-all')

    def test_a_name_taken_twice_is_refused(self) -> None:
        register('test kind', 'taken')(list)
        with self.assertRaisesRegex(RegistryError, 'taken'):
            register('test kind', 'taken')(dict)

    def test_a_module_that_is_not_there_is_refused_by_name(self) -> None:
        with self.assertRaisesRegex(RegistryError, 'no_such_module'):
            load_plugins(('no_such_module',))
