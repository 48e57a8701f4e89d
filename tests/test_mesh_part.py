"""Tests of the kernel part that provides links and membership."""

import asyncio
import random
import re
import time
import unittest
from pathlib import Path
from typing import Final

from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import HostList, Listing
from nutmegroad.foundations.accounting import Account, Ledger
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.exceptions import SettingsError
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, DomainId, HostId, Presence
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.settings import Settings, read_settings
from nutmegroad.membership.duties import Duties, DutyName
from nutmegroad.membership.members import Members
from nutmegroad.membership.part import MeshPart

NOWHERE = Address('127.0.0.1', 0)
MAX_CHECKS = 4000
ROOT: Final = Path(__file__).resolve().parent.parent
PAGE: Final = ROOT / 'docs' / 'MEMBERSHIP.md'
SOURCES: Final = ROOT / 'src' / 'nutmegroad'
EVENT: Final = re.compile("'((?:links|members)_[a-z_]+)'")


class NoHostList:
    """A host list that is unavailable."""

    async def listing(self) -> Listing | Refusal:
        return Refusal(ResultCode.HOST_LIST_UNAVAILABLE, 'It is down.')


class MeshPartTest(unittest.IsolatedAsyncioTestCase):
    """The part on a kernel."""

    async def open(
        self,
        name: str,
        seeds: tuple[Address, ...] = (),
        key: str = 'a key',
    ) -> Kernel:
        settings = Settings(
            host=HostId(name),
            domain=DomainId('east'),
            callers=NOWHERE,
            operators=NOWHERE,
            peers=NOWHERE,
            platform=NOWHERE,
            cluster_key=key,
            seeds=seeds,
            heartbeat=0.1,
        )
        kernel = Kernel(settings, SystemClock(), random.Random(name))
        kernel.provide(HostList, NoHostList())
        kernel.provide(Account, Ledger(time.thread_time))
        await self.enterAsyncContext(kernel)
        await MeshPart().open(kernel)
        return kernel

    async def until_known(self, kernel: Kernel, *known: Presence) -> None:
        """Wait until the other hosts have these presences."""
        for _ in range(MAX_CHECKS):
            members = kernel.need(Mesh).members()
            if known == tuple(member.presence for member in members):
                return
            await asyncio.sleep(0.005)
        raise AssertionError(f'The other hosts are not {known}.')

    async def test_hosts_discover_each_other_and_leave(self) -> None:
        one = await self.open('one')
        two = await self.open('two', seeds=(one.listening['peers'],))
        await self.until_known(one, Presence.LIVE)
        await self.until_known(two, Presence.LIVE)
        duty = DutyName('a duty')
        self.assertEqual(
            one.need(Duties).holders(duty),
            two.need(Duties).holders(duty),
        )
        self.assertIsNotNone(one.need(Account))
        two.need(Members).leave()
        await self.until_known(one, Presence.LEAVING)
        await two.stack.aclose()
        await self.until_known(one)

    async def test_an_empty_key_is_refused(self) -> None:
        with self.assertRaises(SettingsError):
            await self.open('one', key='')


class MembershipPageTest(unittest.TestCase):
    """The membership page of the operators' documentation."""

    def test_example_has_valid_settings(self) -> None:
        example = PAGE.read_text().split('```')[1]
        key = re.search('NUTMEGROAD_CLUSTER_KEY=(.*)', example)
        assert key is not None
        environ = {'NUTMEGROAD_CLUSTER_KEY': key[1]}
        starts = re.findall('^nutmegroadd (.*)$', example, re.MULTILINE)
        first, second = (
            read_settings(start.split(), environ)[0] for start in starts
        )
        self.assertEqual(first.domain, second.domain)
        self.assertEqual(second.seeds, (first.peers,))

    def test_page_explains_every_event(self) -> None:
        page = PAGE.read_text()
        for module in SOURCES.rglob('*.py'):
            for event in EVENT.findall(module.read_text()):
                self.assertIn(f'`{event}`', page)
