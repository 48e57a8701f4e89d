"""Tests of calls to plain services: retries, and calls that crash them."""

import asyncio
import random
import unittest

from nutmegroad.contracts.documents import CallRule, ServiceEntry
from nutmegroad.contracts.fences import Fence, FenceTerms
from nutmegroad.contracts.upstreams import (
    ServiceCall,
    ServiceReply,
)
from nutmegroad.fleet.crash_records import HARMFUL_CRASHES
from nutmegroad.foundations.invariants import StrictInvariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    Ran,
    RequestId,
    ServiceName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    WorkspaceId,
)
from nutmegroad.records.explanations import Explanation
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.gates import Gatekeeper
from nutmegroad.routing.harmful import HarmfulRequests
from nutmegroad.routing.policies import NoQuarantine
from nutmegroad.routing.retries import (
    MAX_SAVED_RETRIES,
    RETRY_FRACTION,
    ProportionalRetries,
)
from nutmegroad.routing.service_traffic import ServiceTraffic
from nutmegroad.routing.services import (
    CallPolicies,
    ServiceCaller,
    ServiceRequest,
)
from nutmegroad.testing.virtual import ManualClock
from tests.request_path_rig import ScriptedEngines
from tests.sample_configuration import make_configuration
from tests.test_harmful_requests import CrashingEngines

_PORTAL = ServiceName('portal')
_RULE = CallRule(method='GET', path='*', repeatable=True)
_ENTRY = ServiceEntry(name=_PORTAL, calls=(_RULE,))
_HARMFUL = b'crashes services'
_SERVED = ServiceReply(200, b'', 'text/plain')
_FAILED = Refusal(ResultCode.UPSTREAM_ERROR, 'It failed.', Ran.UNKNOWN)


class ScriptedServices:
    """A client with scripted replies; the last one is repeated."""

    def __init__(self) -> None:
        self.replies: list[ServiceReply | Refusal] = [_FAILED]
        self.calls: list[ServiceCall] = []

    async def call(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Record a call and reply to it."""
        self.calls.append(call)
        last = len(self.replies) == 1
        return self.replies[0] if last else self.replies.pop(0)


class CrashingServices(ScriptedServices):
    """Services that crash under calls with a certain body.

    Attributes:
        crash: Set when they crash; None to crash at once.
    """

    crash: asyncio.Event | None = None

    async def call(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Answer, or crash."""
        self.calls.append(call)
        if self.crash is not None:
            await self.crash.wait()
        return _FAILED if call.body == _HARMFUL else _SERVED


class ServiceCallerCase(unittest.IsolatedAsyncioTestCase):
    """A caller of three upstreams of one service.

    Attributes:
        client: Answers the calls.
        engines: Shows which upstreams accept connections.
    """

    client: ScriptedServices
    engines: ScriptedEngines

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(start=100)
        self.metrics = Metrics(float)
        configuration = make_configuration(self.clock, 1)
        self.directory = Directory(self.clock)
        self.directory.update(tuple(self.upstream(name) for name in 'abc'))
        retries = ProportionalRetries(self.clock)
        self.caller = ServiceCaller(
            self.client,
            self.directory,
            Gatekeeper(configuration, self.clock, NoQuarantine()),
            configuration,
            CallPolicies(
                ServiceTraffic(retries, self.metrics, self.clock),
                HarmfulRequests(self.engines, self.clock),
            ),
            self.clock,
            random.Random(1),
        )

    def upstream(self, name: str) -> UpstreamInfo:
        return UpstreamInfo(
            UpstreamId(name),
            DomainId('petaling'),
            UpstreamKind.SERVICE,
            Address('127.0.0.1', 1),
            service=_PORTAL,
        )

    async def call(
        self,
        number: int = 0,
        method: str = 'GET',
        workspace: str = 'large',
        body: bytes = b'',
    ) -> ServiceReply | Refusal:
        name = RequestId(f'r{number}')
        terms = FenceTerms(name, repeatable=method == 'GET')
        request = ServiceRequest(
            request=name,
            workspace=WorkspaceId(workspace),
            service=_PORTAL,
            method=method,
            path='fees',
            body=body,
            content_type='text/plain',
            key='',
            deadline=self.clock.now() + 9,
            fence=Fence(terms, self.clock, StrictInvariants()),
        )
        explanation = Explanation(name, self.clock)
        return await self.caller.call(request, _ENTRY, explanation)


class ServiceCallerTest(ServiceCallerCase):
    """Retries, and how they are counted."""

    async def asyncSetUp(self) -> None:
        self.client = ScriptedServices()
        self.engines = ScriptedEngines()
        await super().asyncSetUp()

    def counter(self, name: str, **labels: str) -> float:
        """Return the exported value of a counter, summed over labels."""
        start = f'nutmegroad_{name}_total{{'
        parts = [f'{label}="{text}"' for label, text in labels.items()]
        lines = self.metrics.render().decode().splitlines()
        samples = [
            float(line.rpartition(' ')[2])
            for line in lines
            if line.startswith(start) and all(part in line for part in parts)
        ]
        return sum(samples)

    async def test_a_retry_and_its_outcome_are_counted(self) -> None:
        reply = ServiceReply(200, b'', 'text/plain')
        self.client.replies = [_FAILED, reply]
        self.assertEqual(await self.call(), reply)
        failed = {'outcome': 'UPSTREAM_ERROR'}
        self.assertEqual(self.counter('retries', code='UPSTREAM_ERROR'), 1)
        self.assertEqual(self.counter('service_attempts', **failed), 1)
        self.assertEqual(self.counter('service_attempts', outcome='OK'), 1)
        self.assertEqual(self.counter('requests', task='portal'), 1)
        self.assertEqual(self.counter('requests', outcome='OK'), 1)

    async def test_a_non_repeatable_call_counts_no_retry(self) -> None:
        self.assertIsInstance(await self.call(method='POST'), Refusal)
        self.assertEqual(self.counter('retries'), 0)
        self.assertEqual(self.counter('requests', outcome='UPSTREAM_ERROR'), 1)

    async def test_retries_in_an_outage_are_a_fraction_of_the_calls(
        self,
    ) -> None:
        calls = 300
        for number in range(calls):
            self.assertIsInstance(await self.call(number), Refusal)
        retried = len(self.client.calls) - calls
        self.assertLessEqual(
            retried, MAX_SAVED_RETRIES + RETRY_FRACTION * calls
        )
        self.assertGreaterEqual(retried, MAX_SAVED_RETRIES)
        self.assertEqual(self.counter('retries'), retried)


class CrashingCallTest(ServiceCallerCase):
    """Services crash under calls with a certain body."""

    async def asyncSetUp(self) -> None:
        self.client = CrashingServices()
        self.engines = CrashingEngines()
        await super().asyncSetUp()

    # A call that crashes services ended one after the other, as its caller
    # repeated it under other ids.
    async def test_it_is_refused_after_its_third_service(self) -> None:
        """Whether it may be repeated or not."""
        for number in range(12):
            await self.call(number, ('GET', 'POST')[number % 2], body=_HARMFUL)
        self.assertLessEqual(len(self.client.calls), 2 * HARMFUL_CRASHES)
        refusal = await self.call(20, body=_HARMFUL)
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.code, ResultCode.REQUEST_HARMFUL)
        self.assertIs(refusal.ran, Ran.NOT_RUN)
        self.assertGreater(refusal.retry_after, 0)

    async def test_its_body_counts_whoever_sends_it(self) -> None:
        """Guards against as many crashes for each workspace."""
        for number in range(12):
            await self.call(
                number, workspace=f'workspace-{number}', body=_HARMFUL
            )
        self.assertLessEqual(len(self.client.calls), HARMFUL_CRASHES + 1)

    async def test_other_calls_are_served(self) -> None:
        """Those of the same workspace and path, with another body."""
        for number in range(12):
            await self.call(number, body=_HARMFUL)
            served = await self.call(100 + number, body=b'sound')
            self.assertEqual(served, _SERVED)

    # Guards against one crash that counts once for each call that it breaks:
    # calls without a body are all alike.
    async def test_one_crash_under_many_calls_counts_once(self) -> None:
        """The next such call is not refused."""
        broken = asyncio.Event()
        self.client.crash = broken
        self.directory.update((self.upstream('a'),))
        calls = [
            asyncio.ensure_future(self.call(number, 'POST', body=_HARMFUL))
            for number in range(9)
        ]
        await self.clock.advance(1)
        self.assertEqual(len(self.client.calls), len(calls))
        broken.set()
        await asyncio.gather(*calls)
        refusal = await self.call(20, 'POST', body=_HARMFUL)
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.code, ResultCode.UPSTREAM_ERROR)


class FailingCallTest(ServiceCallerCase):
    """Services fail calls with a certain body, and go on."""

    async def asyncSetUp(self) -> None:
        self.client = CrashingServices()
        self.engines = ScriptedEngines()
        await super().asyncSetUp()

    async def test_a_failure_of_a_living_service_is_no_crash(self) -> None:
        """Guards against refusing what only met a slow service."""
        for number in range(12):
            refusal = await self.call(number, 'POST', body=_HARMFUL)
            assert isinstance(refusal, Refusal)
            self.assertIs(refusal.code, ResultCode.UPSTREAM_ERROR)
