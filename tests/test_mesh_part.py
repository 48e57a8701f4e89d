"""Tests of the part that links a host to the others."""

import asyncio
import random
import unittest

from nutmegroad._mesh_part import MeshPart
from nutmegroad.accounting import Account
from nutmegroad.clocks import SystemClock
from nutmegroad.core import Kernel
from nutmegroad.duties import Duties, DutyName
from nutmegroad.exceptions import SettingsError
from nutmegroad.members import Members
from nutmegroad.peers import Mesh
from nutmegroad.platform import HostList, Listing
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.settings import Settings
from nutmegroad.types import Address, DomainId, HostId, Presence

NOWHERE = Address('127.0.0.1', 0)
LOOKS = 4000


class NoHostList:
    """A host list that is down."""

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
        await self.enterAsyncContext(kernel)
        await MeshPart().open(kernel)
        return kernel

    async def until_known(self, kernel: Kernel, *known: Presence) -> None:
        """Wait until the other hosts stand so."""
        for _ in range(LOOKS):
            members = kernel.need(Mesh).members()
            if known == tuple(member.presence for member in members):
                return
            await asyncio.sleep(0.005)
        raise AssertionError(f'The other hosts are not {known}.')

    async def test_hosts_find_each_other_and_part(self) -> None:
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
