"""A rollout moves no active session to a new version, at 9 and at 200 hosts.

The failure: on a calm day with a good rollout, four requests of a large
deployment ran on another version than the previous request of their session.
The requests of a session go to any host. The host that moved a session had
received nothing from the host of another failure domain that had served it
seconds before. Nearly all hosts of other domains counted as unresponsive and
were sent next to nothing, and where sessions were many, the older fingerprints
were sent to nobody.
"""

import asyncio
import itertools
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, cast

from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
)
from fakes.opaque_worker import ReceivedRequest, Script, head, signed

from nutmegroad.canary.gate import RolloutGate
from nutmegroad.canary.interrupted_attempts import InterruptedAttempts
from nutmegroad.canary.rollout_registry import RolloutRegistry
from nutmegroad.canary.rollouts import (
    CANARY_DELAY,
    RolloutOrder,
    RolloutRow,
    Stage,
)
from nutmegroad.canary.sessions import LastRun, SessionVersions
from nutmegroad.canary.state import RolloutState
from nutmegroad.foundations.clocks import BootClock
from nutmegroad.foundations.types import HostId, ServiceName
from nutmegroad.routes.requests import SessionName
from nutmegroad.upstreams.directory import Directory, SoftwareVersion
from nutmegroad.upstreams.placement import Evacuations, Placement
from tests.gossip_rig import SPAN, GossipFleet, Member
from tests.relay_rig import Rig
from tests.relay_samples import ENGINES, a_request, an_entry

SIZES: Final = ((9, 3), (200, 5))

NEW: Final = SoftwareVersion('v2')

#: Times of the simulation in seconds: the order, the row that starts its canary
#: stage, and the maximum delay with which a host receives each.
ORDERED: Final = 6.0
BEGUN: Final = 6.3
BEHIND: Final = 0.3

#: Duration of the rollout in seconds; sessions stay for the first half.
DURATION: Final = 16.0

#: Requests per second to all hosts together, and the sessions to which they
#: belong.
RATE: Final = 270.0
SESSIONS: Final = 1600

#: Fraction of the sessions that the canary stage covers.
TRIAL: Final = 0.25

#: Status, headers and body.
Reply = tuple[int, dict[str, str], bytes]


@dataclass(frozen=True, slots=True)
class Run:
    """Run of one request of a session.

    Attributes:
        version: Version on which it ran.
        host: Host that served it.
        moment: Virtual time in seconds.
    """

    version: SoftwareVersion
    host: HostId
    moment: float


class RolloutSimulation:
    """Sessions whose requests go to all hosts while a rollout is ordered.

    Args:
        fleet: The hosts.
    """

    def __init__(self, fleet: GossipFleet) -> None:
        self._fleet = fleet
        self._gates = {each.name: self._gate(each) for each in fleet.members}
        self._ran: dict[str, Run] = {}
        self._numbers = itertools.count()
        #: Pairs of consecutive runs of a session on different versions.
        self.moved: list[tuple[Run, Run]] = []

    async def run(self) -> None:
        """Send requests until sessions may be moved."""
        fleet = self._fleet
        steps = asyncio.gather(*map(self._carry_out, fleet.members))
        weights = [1 / (1 + rank) ** 0.3 for rank in range(SESSIONS)]
        names = fleet.randomness.choices(
            range(SESSIONS),
            weights,
            k=int(RATE * BEGUN + RATE * DURATION),
        )
        for number in names:
            await fleet.clock.sleep(fleet.randomness.expovariate(RATE))
            if fleet.clock.now() >= BEGUN + DURATION / 2:
                break
            self._send_request(
                f'session-{number}', fleet.randomness.choice(fleet.members)
            )
        await steps

    def _gate(self, member: Member) -> RolloutGate:
        """Create the rollout gate of a host."""
        clock = self._fleet.clock
        directory = Directory(clock)
        directory.put(an_entry('old'))
        book = member.state.evidence
        state = RolloutState(
            member.name,
            TRIAL,
            clock.now,
            book,
            lambda: 1,
            registry=RolloutRegistry(clock.now, book.stop),
        )
        gate = RolloutGate(
            directory,
            state,
            SessionVersions(clock, SPAN),
            member.state.sessions,
            InterruptedAttempts(clock),
            Placement(Evacuations(clock), {}),
        )
        # The steady version is the one present before the order.
        gate.permitted(a_request('first'), ENGINES)
        directory.put(an_entry('new', NEW))
        return gate

    async def _carry_out(self, member: Member) -> None:
        """Apply the order and the start of its canary stage at a host."""
        clock, randomness = self._fleet.clock, self._fleet.randomness
        orders = self._gates[member.name]._state.registry
        late = randomness.uniform(0, BEHIND)
        await clock.sleep(ORDERED + late)
        orders.apply_order(RolloutOrder(ENGINES, NEW, DURATION, 7))
        await clock.sleep(BEGUN + late - clock.now())
        row = RolloutRow(
            7, Stage.CANARY.value, BEGUN, to=NEW, duration=DURATION
        )
        orders.apply_progress(ENGINES, row, 11)

    def _send_request(self, session: str, member: Member) -> None:
        """Send a request of a session to a host."""
        request = a_request(f'r{next(self._numbers)}', session=session)
        gate = self._gates[member.name]
        version = gate.permitted(request, ENGINES)[0].entry.version
        gate.sent(request, ENGINES, version)
        run = Run(version, member.name, self._fleet.clock.now())
        before = self._ran.get(session)
        self._ran[session] = run
        if before is None or run.moment - before.moment >= SPAN:
            return
        if before.version != run.version:
            self.moved.append((before, run))


class MovedSessionsTest(unittest.TestCase):
    """Sessions stay on their version."""

    def test_living_sessions_stay_at_any_size(self) -> None:
        """A host must not move a session that another host has just served."""
        for (hosts, domains), seed in itertools.product(SIZES, range(3)):
            moved = simulate(hosts, domains, seed)
            with self.subTest(hosts=hosts, seed=seed):
                self.assertEqual(list(_describe(moved)), [])


class SessionLifeTest(unittest.IsolatedAsyncioTestCase):
    """Start and end of the time for which a request keeps a session active."""

    async def asyncSetUp(self) -> None:
        """Start a host, and a worker whose answers wait for an event."""
        self.rig = await self.enterAsyncContext(Rig())
        await self.rig.start()
        self.clock = BootClock()
        self.let_go = asyncio.Event()

    def answer(self, *pieces: bytes) -> None:
        """Make the worker wait before the last piece of its answer."""

        def make(seen: ReceivedRequest) -> Script:
            """Return the answer to a request."""
            length = str(sum(map(len, pieces)))
            begin = head('200 OK', signed(seen, **{'Content-Length': length}))
            written = (begin + pieces[0], *pieces[1:])
            return Script(written, hold=self.let_go)

        self.rig.workers[0].default_script = make

    def ask(self) -> 'asyncio.Task[Reply]':
        """Send a request of a session."""
        headers = {'Session': 's'}
        return asyncio.ensure_future(
            self.rig.ask('/look/1', method='GET', headers=headers),
        )

    def seen(self) -> LastRun | None:
        """Return the latest run of the session that the host has recorded."""
        gate = cast(RolloutGate, self.rig.host._context.version_gate)
        return gate._sessions.last_run(ServiceName('desk'), SessionName('s'))

    async def test_it_begins_when_a_request_is_sent(self) -> None:
        """The next request may arrive before the first one is answered."""
        self.answer(b'fine')
        asked = self.ask()
        await self.rig.until(lambda: self.rig.seen('r1'))
        seen = self.seen()
        self.let_go.set()
        await asked
        assert seen is not None
        self.assertEqual(seen.version, 'v1')

    async def test_it_lasts_from_the_end_of_an_answer(self) -> None:
        """A session must not time out during a long answer."""
        self.answer(b'first', b'last')
        asked = self.ask()
        await self.rig.until(lambda: self.rig.seen('r1'))
        await self.rig.until(lambda: self.rig.host.status.open_requests)
        late = self.clock.now()
        self.let_go.set()
        await asked
        seen = self.seen()
        assert seen is not None
        self.assertGreaterEqual(seen.timestamp, late)


def _describe(moved: list[tuple[Run, Run]]) -> Iterator[str]:
    """Yield a line for each session that was moved."""
    for before, run in moved:
        yield (
            f'{before.version} at {before.host}, '
            f'{run.moment - before.moment:.3f} s later {run.version} at '
            f'{run.host}, '
            f'{run.moment - BEGUN - CANARY_DELAY:.3f} s into the trial'
        )


def simulate(hosts: int, domains: int, seed: int) -> list[tuple[Run, Run]]:
    """Simulate a rollout, and return the sessions that were moved."""
    loop = VirtualLoop()

    async def run() -> list[tuple[Run, Run]]:
        fleet = GossipFleet(hosts, domains, VirtualClock(loop), seed)
        simulation = RolloutSimulation(fleet)
        await simulation.run()
        for member in fleet.members:
            member.work.cancel()
        return simulation.moved

    return run_on_virtual_loop(loop, run())


if __name__ == '__main__':
    unittest.main()
