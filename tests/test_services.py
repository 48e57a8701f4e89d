"""Tests that retries of calls to plain services are bounded and counted."""

import random
import unittest

from nutmegroad.contracts.documents import CallRule, ServiceEntry
from nutmegroad.contracts.fences import Fence, FenceTerms
from nutmegroad.contracts.upstreams import ServiceCall, ServiceReply
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
from nutmegroad.routing.policies import NoQuarantine
from nutmegroad.routing.retries import (
    MAX_SAVED_RETRIES,
    RETRY_FRACTION,
    ProportionalRetries,
)
from nutmegroad.routing.service_traffic import ServiceTraffic
from nutmegroad.routing.services import ServiceCaller, ServiceRequest
from nutmegroad.testing.virtual import ManualClock
from tests.sample_configuration import make_configuration

_PORTAL = ServiceName('portal')
_RULE = CallRule(method='GET', path='*', repeatable=True)
_ENTRY = ServiceEntry(name=_PORTAL, calls=(_RULE,))
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


class ServiceCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.metrics = Metrics(float)
        self.client = ScriptedServices()
        configuration = make_configuration(self.clock, 1)
        directory = Directory(self.clock)
        directory.update(tuple(self.upstream(name) for name in 'abc'))
        retries = ProportionalRetries(self.clock)
        self.caller = ServiceCaller(
            self.client,
            directory,
            Gatekeeper(configuration, self.clock, NoQuarantine()),
            configuration,
            ServiceTraffic(retries, self.metrics, self.clock),
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
    ) -> ServiceReply | Refusal:
        name = RequestId(f'r{number}')
        terms = FenceTerms(name, repeatable=method == 'GET')
        request = ServiceRequest(
            request=name,
            workspace=WorkspaceId('large'),
            service=_PORTAL,
            method=method,
            path='fees',
            body=b'',
            content_type='text/plain',
            key='',
            deadline=self.clock.now() + 9,
            fence=Fence(terms, self.clock, StrictInvariants()),
        )
        explanation = Explanation(name, self.clock)
        return await self.caller.call(request, _ENTRY, explanation)

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
