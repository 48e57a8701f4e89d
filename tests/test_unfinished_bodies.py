"""Tests of bodies without a length whose connection is reset.

They are read by the clients for plain services and for the platform.
"""

import unittest
from contextlib import AsyncExitStack

from fakes.opaque_worker import BodyEnd, OpaqueWorker, ScriptFactory, framed

from nutmegroad.adapters._http_platform import HttpObjects, open_session
from nutmegroad.adapters._http_upstreams import HttpServiceClient
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, Ran
from tests.test_http_upstreams import call_at

CUT = framed(b'{"fee": 1', BodyEnd.CONNECTION, reset=True)
WHOLE = framed(b'{"fee": 12}', BodyEnd.CONNECTION)
#: The reset follows a body whose length says that it is complete.
RESET_AFTER_END = framed(b'{"fee": 12}', BodyEnd.LENGTH, reset=True)


class BodyCase(unittest.IsolatedAsyncioTestCase):
    """Test case with an upstream that follows a script."""

    async def asyncSetUp(self) -> None:
        """Prepare the stack of resources."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def listen(self, script: ScriptFactory) -> Address:
        """Start an upstream and return its address."""
        worker = OpaqueWorker(default_script=script)
        await worker.start()
        self.stack.push_async_callback(worker.stop)
        return Address('127.0.0.1', worker.port)


class ServiceReplyTest(BodyCase):
    """Replies of plain services."""

    # A caller got the first part of a service's reply as a complete one: the
    # HTTP client takes a reset for the end of a body without a length.
    async def test_reset_is_no_end_of_a_service_reply(self) -> None:
        """The call is refused, and may have run."""
        services = await self.stack.enter_async_context(HttpServiceClient())
        reply = await services.call(call_at(await self.listen(CUT)))
        self.assertIsInstance(reply, Refusal)
        if isinstance(reply, Refusal):
            self.assertEqual(
                (reply.code, reply.ran),
                (ResultCode.UPSTREAM_ERROR, Ran.UNKNOWN),
            )

    async def test_complete_replies_are_returned(self) -> None:
        """An orderly end completes a reply, and so does its length."""
        services = await self.stack.enter_async_context(HttpServiceClient())
        for script in (WHOLE, RESET_AFTER_END):
            reply = await services.call(call_at(await self.listen(script)))
            self.assertIsInstance(reply, ServiceReply)
            if isinstance(reply, ServiceReply):
                self.assertEqual(reply.body, b'{"fee": 12}')


class ObjectTest(BodyCase):
    """Objects of the platform, whose content is opaque."""

    # A reader got the first part of an object as its whole content.
    async def test_reset_is_no_end_of_an_object(self) -> None:
        """The fetch fails; an orderly end completes the object."""
        session = await self.stack.enter_async_context(open_session())
        cut = HttpObjects(session, await self.listen(CUT))
        self.assertIsInstance(await cut.fetch('bill'), Refusal)
        whole = HttpObjects(session, await self.listen(WHOLE))
        self.assertEqual(await whole.fetch('bill'), b'{"fee": 12}')


if __name__ == '__main__':
    unittest.main()
