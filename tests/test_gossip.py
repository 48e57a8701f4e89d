"""Gossip reaches all hosts, in fleets of nine and of two hundred.

Callers saw live sessions moved to a new version at 195 hosts: a session had run
at a host of one failure domain, and came seconds later to a host of another one
that had not received its fingerprint. Each host sent to one remote host per
round and skipped hosts from which it had received nothing for five seconds.
With more hosts than rounds in that time, it skipped nearly all of them.
"""

import itertools
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
)

from nutmegroad.fleet.crash_causes import PROBE_DELAY
from nutmegroad.fleet.crash_records import UpstreamCrash, UpstreamFingerprint
from nutmegroad.fleet.evidence import NO_ANSWERS, KindNumber
from nutmegroad.fleet.loads import Load
from nutmegroad.fleet.old_version_sessions import SessionFingerprint
from nutmegroad.fleet.request_attributes import (
    ContentFingerprint,
    content_attribute,
)
from nutmegroad.foundations.types import ServiceName, UpstreamIncarnation
from tests.gossip_rig import GossipFleet, Member

SIZES: Final = ((9, 3), (200, 5))

ENGINES: Final = ServiceName('engines')
UPSTREAM: Final = UpstreamIncarnation('engine')
KIND: Final = KindNumber(0)
MARK: Final = SessionFingerprint(7)
CONTENT: Final = content_attribute(ContentFingerprint(5))
POOR: Final = 50

#: Seconds within which a fact passes through a third domain by rotation: before
#: the session's life ends.
PARTITION_SPAN: Final = 8.0

Scene = Callable[[GossipFleet], Awaitable[int]]


@dataclass(frozen=True, slots=True)
class Fact:
    """State that one host observes and all hosts have to receive.

    Attributes:
        saw: Lets a host observe it.
        knows: Returns whether a host has it.
        seconds: Time within which all hosts have it.
    """

    saw: Callable[[Member], None]
    knows: Callable[[Member], bool]
    seconds: float


def _saw_session(member: Member) -> None:
    """Let a host serve a session on the old version."""
    member.state.sessions.record(MARK)


def _knows_session(member: Member) -> bool:
    """Return whether a host knows that session."""
    return member.state.sessions.is_live(MARK)


def _saw_poor_answers(member: Member) -> None:
    """Let a host count poor answers of a new version."""
    for _ in range(POOR):
        member.state.evidence.count(ENGINES, 3, KIND, of_new=True, poor=True)


def _knows_poor_answers(member: Member) -> bool:
    """Return whether a host knows all of them."""
    seen = member.state.evidence.sums(ENGINES, 3).get(KIND, NO_ANSWERS)
    return seen.new_poor == POOR


def _saw_crash(member: Member) -> None:
    """Let an upstream crash under a request of a host."""
    now = member.clock.now()
    end = UpstreamCrash(UpstreamFingerprint(1), now, now)
    member.state.crashes.record_crash((CONTENT,), end)


def _knows_crash(member: Member) -> bool:
    """Return whether a host knows that an upstream crashed under it."""
    return CONTENT.fingerprint in member.state.crashes.records


FACTS: Final = MappingProxyType(
    {
        # Otherwise a host moves a session that another one has served.
        'session': Fact(_saw_session, _knows_session, 1.0),
        # Otherwise each host halts a bad version only by its own counts; the
        # rest of the bound is for the verdict and the writing of steps.
        'poor answers': Fact(_saw_poor_answers, _knows_poor_answers, 2.0),
        # Otherwise a host without the report executes a harmful request again.
        'end of an upstream': Fact(_saw_crash, _knows_crash, PROBE_DELAY),
    },
)


class PropagationTest(unittest.TestCase):
    """All hosts receive in time what one host has observed."""

    def test_whatever_one_host_has_seen_reaches_all(self) -> None:
        """Guards: hosts of other failure domains receive next to nothing."""
        for name, fact in FACTS.items():
            for size, busy in itertools.product(SIZES, (True, False)):
                scene = _after(fact, busy=busy)
                missing = [play(*size, seed, scene) for seed in range(2)]
                with self.subTest(fact=name, size=size, busy=busy):
                    self.assertEqual(missing, [0, 0])

    def test_facts_reach_live_hosts_past_dead_ones(self) -> None:
        """Guards: the next receiver, which would have forwarded it, is down."""
        for size in SIZES:
            missing = [play(*size, seed, _half_are_down) for seed in range(2)]
            with self.subTest(size=size):
                self.assertEqual(missing, [0, 0])

    def test_facts_bypass_a_partition(self) -> None:
        """Guards: two domains are cut off from each other but reach a third."""
        for size in SIZES:
            missing = [play(*size, seed, _two_are_cut) for seed in range(2)]
            with self.subTest(size=size):
                self.assertEqual(missing, [0, 0])


async def _half_are_down(fleet: GossipFleet) -> int:
    """Count running hosts that don't know a session in time."""
    for member in fleet.members[::2]:
        fleet.stop(member)
    _saw_session(fleet.randomness.choice(fleet.members))
    await fleet.clock.sleep(FACTS['session'].seconds)
    return sum(not _knows_session(member) for member in fleet.members)


async def _two_are_cut(fleet: GossipFleet) -> int:
    """Count hosts that don't know a session of the other side in time."""
    cut = {'d0', 'd1'}
    with fleet.losing(lambda sender, to: {sender.domain, to.domain} == cut):
        _saw_session(fleet.member(0))
        await fleet.clock.sleep(PARTITION_SPAN)
    return sum(not _knows_session(member) for member in fleet.members)


def _after(fact: Fact, *, busy: bool) -> Scene:
    """Return a scene that counts the hosts that don't know a fact in time.

    Args:
        fact: The fact.
        busy: Whether all hosts have requests to report.
    """

    async def count(fleet: GossipFleet) -> int:
        if busy:
            for member in fleet.members:
                member.state.ledger.begin(UPSTREAM, Load(1, 0, 900))
        # Longer than a host counts as responsive, so that its start hides no
        # gap.
        await fleet.clock.sleep(8)
        fact.saw(fleet.randomness.choice(fleet.members))
        await fleet.clock.sleep(fact.seconds)
        return sum(not fact.knows(member) for member in fleet.members)

    return count


def play(hosts: int, domains: int, seed: int, scene: Scene) -> int:
    """Run a scene on a fleet, and return its count."""
    loop = VirtualLoop()

    async def run() -> int:
        fleet = GossipFleet(hosts, domains, VirtualClock(loop), seed)
        try:
            return await scene(fleet)
        finally:
            for member in fleet.members:
                member.work.cancel()

    return run_on_virtual_loop(loop, run())


if __name__ == '__main__':
    unittest.main()
