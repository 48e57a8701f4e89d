"""Requests whose configuration changes while their bodies arrive."""

import json
import unittest
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any, Final, cast

from aiohttp import web
from multidict import CIMultiDict

from nutmegroad.fleet.store_interface import StoredRow
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.overload.memory_budget import MemoryBudget
from nutmegroad.relay.intake import Intake
from nutmegroad.routes.cached_configuration import CachedConfiguration
from nutmegroad.routes.deployment import RoutingTable
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.testing.virtual import ManualClock
from nutmegroad_platform.names import HEADERS
from nutmegroad_platform.rows import RowCodec
from tests.relay_rig import HOST, KEY, configuration, route

#: Seconds for which keys stay valid without a confirmation.
VALIDITY: Final = 5.0
PARTS: Final = (b'first', b'second')


def table(version: int, **more: Any) -> RoutingTable:
    """Return a configuration as the store has it."""
    document = configuration(version, **more)
    row = StoredRow('config', json.dumps(document).encode(), version)
    return cast(RoutingTable, RowCodec().operator_row(row))


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """A body of two parts, between which something happens."""

    def setUp(self) -> None:
        """Put a configuration in force."""
        self.clock = ManualClock(start=100)
        self.configuration = CachedConfiguration(self.clock, VALIDITY)
        self.configuration.update(table(1))
        self.configuration.confirm(100)
        self.intake = Intake(HEADERS, self.configuration, self.clock)

    async def read(
        self, between: Callable[[], None], path: str = '/pay/1'
    ) -> CallerRequest | Refusal:
        """Read a request whose second part arrives after an event."""

        async def arriving() -> AsyncIterator[bytes]:
            """Yield the parts."""
            yield PARTS[0]
            between()
            yield PARTS[1]

        headers = CIMultiDict(
            {'Host': HOST, 'Authorization': f'Bearer {KEY}'},
        )
        http = SimpleNamespace(
            transport=None,
            method='POST',
            raw_path=path,
            headers=headers,
            raw_headers=(),
            content_length=len(b''.join(PARTS)),
            content=SimpleNamespace(iter_any=arriving, is_eof=bool),
            protocol=None,
            body_exists=True,
        )
        budget = MemoryBudget(10**8, self.clock)
        return await self.intake.read(
            cast(web.BaseRequest, http), budget.open()
        )

    async def test_key_that_was_removed_meanwhile_is_refused(self) -> None:
        """A caller that uploaded for seconds was served by a removed key."""

        def remove_key() -> None:
            other = [{'name': 'clerks', 'apiKeys': ['another']}]
            self.clock._now += VALIDITY
            self.configuration.update(table(2, tenants=other))
            self.configuration.confirm(self.clock.now())

        found = await self.read(remove_key)
        assert isinstance(found, Refusal)
        self.assertIs(found.code, ResultCode.UNAUTHENTICATED)

    async def test_key_that_can_not_be_confirmed_is_refused(self) -> None:
        """The host lost the store while the body arrived."""

        def lose_store() -> None:
            self.clock._now += VALIDITY

        found = await self.read(lose_store)
        assert isinstance(found, Refusal)
        self.assertIs(found.code, ResultCode.CONFIGURATION_UNCONFIRMED)

    async def test_route_of_the_newest_configuration_is_used(self) -> None:
        """A configuration in force applies to what is not sent on yet."""

        def change() -> None:
            routes = [route('pay', 'non_idempotent', timeoutMs=700)]
            self.configuration.update(table(2, routes=routes))

        found = await self.read(change)
        assert isinstance(found, CallerRequest)
        self.assertEqual(found.route.timeout, 0.7)
        self.assertEqual(found.body, b''.join(PARTS))
        self.assertEqual(found.table.version, 2)

    async def test_unchanged_configuration_is_looked_up_once(self) -> None:
        """The request keeps the route of its head."""
        found = await self.read(lambda: None)
        assert isinstance(found, CallerRequest)
        self.assertEqual(found.table.version, 1)
