"""Tries the relay's decisions on a load, without processes or network.

    python -m experiments.simulate --rate 30 --plot lateness.png

Hosts choose engines, ranks, fetches and models by the relay's own code;
engines and the network are modelled (``experiments.relay_model``). The table
shows lateness by kind of request, use of the large model, prompt tokens read
again and fetched, and bytes told; the plot shows waits over time. Time is
virtual, and the same seed gives the same table.
"""

import argparse
import asyncio
import random
import statistics
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final, TextIO

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from experiments.relay_load import (
    HARD,
    KINDS,
    Answered,
    LoadKind,
    Outcome,
    draw,
)
from experiments.relay_model import (
    BASE,
    FACTS,
    GENERATES,
    LARGE,
    SERVICE,
    SLOTS,
    SMALL,
    Fleet,
    Host,
)
from experiments.virtual_time import VirtualClock, VirtualLoop, run_virtually
from nutmegroad.escalation.confidence import ESCALATION_THRESHOLD
from nutmegroad.escalation.decisions import EscalationCase, larger_model
from nutmegroad.escalation.headroom import AnswerEstimate
from nutmegroad.foundations.types import ModelName
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.engine_ranks import engine_rank
from nutmegroad.upstreams.prefixes import fingerprint_parts
from nutmegroad.upstreams.selection import Choice, SelectionQuery

#: Seconds within which a few requests come together.
CLUMP: Final = 0.01


class Simulation:
    """Requests that come to a fleet.

    Args:
        fleet: The fleet.
        clock: The simulation's clock.
        seed: Seed of the load.
    """

    def __init__(self, fleet: Fleet, clock: VirtualClock, seed: int) -> None:
        self._fleet = fleet
        self._clock = clock
        self._randomness = random.Random(seed)
        self._upstreams = {host.name: fleet.upstreams() for host in fleet.hosts}
        self._answered: list[Answered] = []

    async def run(self, rate: float, seconds: float) -> Outcome:
        """Let requests come, in clumps of three, and wait for all."""
        work = self._fleet.start()
        asked: list[asyncio.Task[None]] = []
        while self._clock.now() < seconds:
            await self._clock.sleep(self._randomness.expovariate(rate / 3))
            for _ in range(3):
                request = draw(self._randomness, len(asked), self._clock.now())
                asked.append(asyncio.ensure_future(self._ask(*request)))
        await asyncio.gather(*asked)
        for task in work:
            task.cancel()
        engines = self._fleet.engines
        return Outcome(
            tuple(self._answered),
            sum(engine.read_again for engine in engines),
            sum(engine.fetched for engine in engines),
            self._fleet.told_bytes,
        )

    async def _ask(self, kind: LoadKind, request: CallerRequest) -> None:
        """Answer one request as the relay does."""
        randomness = self._randomness
        await self._clock.sleep(randomness.uniform(0, CLUMP))
        host = randomness.choice(self._fleet.hosts)
        hard = randomness.random() < HARD
        confidence = randomness.gauss(25 if hard else 75, 15)
        await self._run(host, request, SMALL)
        larger = confidence < ESCALATION_THRESHOLD and self._escalates(
            host,
            request,
            confidence,
        )
        if larger:
            await self._run(host, request, LARGE)
        self._answered.append(
            Answered(
                kind,
                request.arrived,
                self._clock.now() - request.arrived,
                large=larger,
                poor=hard and not larger,
            ),
        )

    def _choose(
        self,
        host: Host,
        request: CallerRequest,
        model: ModelName,
    ) -> Choice:
        """Return where a host sends a request.

        Raises:
            RuntimeError: If there is no engine.
        """
        asked = SelectionQuery(request, SERVICE, model, FACTS)
        choice = host.selector.choose(asked, self._upstreams[host.name], ())
        if choice is None:
            raise RuntimeError('no engine can be chosen')
        return choice

    async def _run(
        self,
        host: Host,
        request: CallerRequest,
        model: ModelName,
    ) -> None:
        """Let a model read a request's prompt; it generates on by itself."""
        generation = request.generation
        choice = self._choose(host, request, model)
        if generation is None:
            return
        name = choice.upstream.entry.incarnation
        parts = fingerprint_parts(model, generation.parts)
        host.selector.prefixes.record_sent(name, parts, FACTS.cache_tokens)
        load = choice.load
        read = host.told.ledger.begin(name, load)
        source = choice.prefill.source_id
        engine = self._fleet.engine(choice.upstream.entry.upstream)
        began = self._clock.now()
        await engine.read(
            engine_rank(
                choice.prefill.seconds,
                request.route.target_latency,
                request.priority,
            ),
            model,
            generation.parts,
            None if source is None else self._fleet.engine(source),
        )
        read()
        host.selector.latencies.observe(
            SelectionQuery(request, SERVICE, model, FACTS).key,
            choice.prefill.tokens,
            self._clock.now() - began,
            choice.expected_seconds,
        )
        asyncio.get_running_loop().call_later(
            GENERATES * generation.expected_tokens,
            host.told.ledger.end,
            name,
            load,
        )

    def _escalates(
        self,
        host: Host,
        request: CallerRequest,
        confidence: float,
    ) -> bool:
        """Tell whether the large model is asked."""
        choice = self._choose(host, request, LARGE)
        now = self._clock.now()
        expected = AnswerEstimate(
            choice.expected_seconds,
            choice.expected_seconds + BASE,
            choice.queued_seconds,
            choice.running / SLOTS,
        )
        case = EscalationCase(
            confidence,
            now - request.arrived,
            2,
            expected,
            request.deadline - now,
        )
        return larger_model(request.route, case) == LARGE


def simulate(
    *,
    hosts: int = 9,
    engines: int = 6,
    rate: float = 30,
    seconds: float = 40,
    seed: int = 1,
    telling: bool = True,
) -> Outcome:
    """Return what a load shows.

    Args:
        hosts: How many hosts, in three failure domains.
        engines: How many engines, in the same.
        rate: Requests a second.
        seconds: For how long they come.
        seed: Seed of load and ties.
        telling: Whether hosts tell each other anything.
    """
    loop = VirtualLoop()
    clock = VirtualClock(loop)
    fleet = Fleet(hosts, engines, 3, clock, seed, telling=telling)
    simulation = Simulation(fleet, clock, seed)
    return run_virtually(loop, simulation.run(rate, seconds))


def write_table(outcome: Outcome, out: TextIO) -> None:
    """Write a table of what was shown."""
    out.write('| kind | asked | late | p50 s | p99 s | large | poor |\n')
    out.write('| --- | --- | --- | --- | --- | --- | --- |\n')
    for kind in KINDS:
        found = [each for each in outcome.answered if each.kind is kind]
        waits = sorted(each.waited for each in found)
        out.write(
            f'| {kind.name} | {len(found)} | {_share(found, "late")} | '
            f'{statistics.median(waits):.2f} | '
            f'{waits[int(len(waits) * 0.99)]:.2f} | '
            f'{_share(found, "large")} | {_share(found, "poor")} |\n',
        )
    out.write(
        f'\nread again {outcome.read_again}, fetched {outcome.fetched} tokens; '
        f'told {outcome.told} bytes\n',
    )


def plot(outcome: Outcome, path: Path) -> None:
    """Draw waits over time into a PNG file."""
    figure = Figure(figsize=(10, 4), layout='constrained')
    # The canvas is named, so that no display is looked for.
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    for kind in KINDS:
        found = [each for each in outcome.answered if each.kind is kind]
        axes.scatter(
            [each.moment for each in found],
            [each.waited for each in found],
            s=6,
            label=f'{kind.name}, target {kind.target} s',
        )
    axes.set_xlabel('seconds')
    axes.set_ylabel('seconds until the answer began')
    axes.legend()
    figure.savefig(path)


def _share(found: Sequence[Answered], what: str) -> str:
    """Return the share of requests of which something is true."""
    hits = sum(getattr(each, what) for each in found)
    return f'{hits / max(1, len(found)):.3f}'


def main(words: list[str] | None = None, out: TextIO = sys.stdout) -> None:
    """Simulate a load and write what it shows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, default=9)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--rate', type=float, default=30.0)
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--silent',
        action='store_true',
        help='let hosts tell each other nothing',
    )
    parser.add_argument('--plot', type=Path, help='a PNG file to draw into')
    options = parser.parse_args(words)
    outcome = simulate(
        hosts=options.hosts,
        engines=options.engines,
        rate=options.rate,
        seconds=options.seconds,
        seed=options.seed,
        telling=not options.silent,
    )
    write_table(outcome, out)
    if options.plot is not None:
        plot(outcome, options.plot)


if __name__ == '__main__':
    main()
