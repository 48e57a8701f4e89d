"""Tests of the ejection of failing upstreams, as used by plain services."""

import random
import unittest

from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import AttemptId
from nutmegroad.routing._ejection import HealthRegistry
from tests.routing_samples import engine

_ATTEMPT = AttemptId('a')


class EjectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.healths = HealthRegistry(random.Random(1))
        self.state = UpstreamState(engine('s1'))

    def test_a_repeatedly_failing_upstream_is_ejected(self) -> None:
        self._fail(ResultCode.UPSTREAM_ERROR, 2)
        self.assertTrue(self.healths.admits(self.state, 0))
        self._fail(ResultCode.UPSTREAM_ERROR, 1)
        self.assertFalse(self.healths.admits(self.state, 0))

    def test_a_success_resets_the_failure_score(self) -> None:
        self._fail(ResultCode.UPSTREAM_ERROR, 2)
        self._fail(ResultCode.OK, 1)
        self._fail(ResultCode.UPSTREAM_ERROR, 2)
        self.assertTrue(self.healths.admits(self.state, 0))

    def test_disconnecting_callers_eject_nothing(self) -> None:
        self._fail(ResultCode.ANSWER_CUT, 9)
        self.assertTrue(self.healths.admits(self.state, 0))

    def test_a_new_incarnation_starts_afresh(self) -> None:
        self._fail(ResultCode.UPSTREAM_ERROR, 3)
        again = UpstreamState(engine('s1'))
        self.assertTrue(self.healths.admits(again, 0))

    def _fail(self, code: ResultCode, times: int) -> None:
        health = self.healths.health(self.state)
        for _ in range(times):
            health.started(_ATTEMPT)
            health.ended(_ATTEMPT, code, 0)
