"""What hosts tell each other reaches all of them, at nine and at two hundred.

Callers saw living sessions moved to a new version at 195 hosts: a session had
run at a host of one failure domain and came to one of another seconds later,
which had not heard of it. A host told one far host a turn, skipped those that
it had not heard for five seconds, and so skipped nearly all where there were
more of them than turns in that time.
"""

import itertools
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from experiments.virtual_time import VirtualClock, VirtualLoop, run_virtually

from nutmegroad.fleet.content_marks import ContentMark
from nutmegroad.fleet.crash_book import FIRST_PAUSE, EndUnder, UpstreamMark
from nutmegroad.fleet.evidence import NO_ANSWERS, KindNumber
from nutmegroad.fleet.loads import Load
from nutmegroad.fleet.session_marks import SessionMark
from nutmegroad.foundations.types import ServiceName, UpstreamIncarnation
from tests.gossip_rig import GossipFleet, Member

SIZES: Final = ((9, 3), (200, 5))

ENGINES: Final = ServiceName('engines')
UPSTREAM: Final = UpstreamIncarnation('engine')
KIND: Final = KindNumber(0)
MARK: Final = SessionMark(7)
CONTENT: Final = ContentMark(5)
POOR: Final = 50

#: Seconds within which a fact comes through a third domain, by turns: before
#: the session's life ends.
CUT_SPAN: Final = 8.0

Scene = Callable[[GossipFleet], Awaitable[int]]


@dataclass(frozen=True, slots=True)
class Fact:
    """Something that one host sees and all have to know.

    Attributes:
        saw: Lets a host see it.
        knows: Tells whether a host knows of it.
        seconds: Time until all of them do.
    """

    saw: Callable[[Member], None]
    knows: Callable[[Member], bool]
    seconds: float


def _saw_session(member: Member) -> None:
    """Let a host serve a session on the old version."""
    member.told.marks.saw(MARK)


def _knows_session(member: Member) -> bool:
    """Tell whether a host knows of that session."""
    return member.told.marks.alive(MARK)


def _saw_poor_answers(member: Member) -> None:
    """Let a host have poor answers of a new version."""
    for _ in range(POOR):
        member.told.book.count(ENGINES, 3, KIND, of_new=True, poor=True)


def _knows_poor_answers(member: Member) -> bool:
    """Tell whether a host knows of all of them."""
    seen = member.told.book.sums(ENGINES, 3).get(KIND, NO_ANSWERS)
    return seen.new_poor == POOR


def _saw_end(member: Member) -> None:
    """Let an upstream end under a request of a host."""
    now = member.clock.now()
    end = EndUnder(UpstreamMark(1), now, now)
    member.told.crashes.ended(CONTENT, end)


def _knows_end(member: Member) -> bool:
    """Tell whether a host knows that an upstream ended under it."""
    return CONTENT in member.told.crashes


FACTS: Final = MappingProxyType(
    {
        # A host moves a session that another one has served.
        'session': Fact(_saw_session, _knows_session, 1.0),
        # Each host halts a bad version only by what it has seen itself; the
        # rest of the bound is for answers to be weighed and steps written.
        'poor answers': Fact(_saw_poor_answers, _knows_poor_answers, 2.0),
        # A harmful request is tried again by a host that has not heard of it.
        'end of an upstream': Fact(_saw_end, _knows_end, FIRST_PAUSE),
    },
)


class SpreadTest(unittest.TestCase):
    """Whatever one host has seen, all hosts know in time."""

    def test_whatever_one_host_has_seen_reaches_all(self) -> None:
        """Guards: hosts of other failure domains are told next to nothing."""
        for name, fact in FACTS.items():
            for size, busy in itertools.product(SIZES, (True, False)):
                scene = _after(fact, busy=busy)
                missing = [play(*size, seed, scene) for seed in range(2)]
                with self.subTest(fact=name, size=size, busy=busy):
                    self.assertEqual(missing, [0, 0])

    def test_facts_reach_those_that_live_past_those_that_do_not(self) -> None:
        """Guards: whoever is told next is gone, or would have told the rest."""
        for size in SIZES:
            missing = [play(*size, seed, _half_are_gone) for seed in range(2)]
            with self.subTest(size=size):
                self.assertEqual(missing, [0, 0])

    def test_facts_go_round_a_cut(self) -> None:
        """Guards: two domains are cut from each other, and reach a third."""
        for size in SIZES:
            missing = [play(*size, seed, _two_are_cut) for seed in range(2)]
            with self.subTest(size=size):
                self.assertEqual(missing, [0, 0])


async def _half_are_gone(fleet: GossipFleet) -> int:
    """Count living hosts that don't know a session in time."""
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
        await fleet.clock.sleep(CUT_SPAN)
    return sum(not _knows_session(member) for member in fleet.members)


def _after(fact: Fact, *, busy: bool) -> Scene:
    """Return what counts the hosts that don't know a fact in time.

    Args:
        fact: The fact.
        busy: Whether all hosts have requests of which they tell.
    """

    async def count(fleet: GossipFleet) -> int:
        if busy:
            for member in fleet.members:
                member.told.ledger.begin(UPSTREAM, Load(1, 0, 900))
        # Longer than any host counts as heard, so no start hides a silence.
        await fleet.clock.sleep(8)
        fact.saw(fleet.randomness.choice(fleet.members))
        await fleet.clock.sleep(fact.seconds)
        return sum(not fact.knows(member) for member in fleet.members)

    return count


def play(hosts: int, domains: int, seed: int, scene: Scene) -> int:
    """Play a scene on a fleet, and return what it counts."""
    loop = VirtualLoop()

    async def run() -> int:
        fleet = GossipFleet(hosts, domains, VirtualClock(loop), seed)
        try:
            return await scene(fleet)
        finally:
            for member in fleet.members:
                member.work.cancel()

    return run_virtually(loop, run())


if __name__ == '__main__':
    unittest.main()
