"""Simulates the relay's decisions under load, without processes or network.

    python -m experiments.simulate --rate 30 --plot lateness.png

Hosts select engines, ranks, cache fetches and models with the relay's own
code; engines and the network are models (``experiments.relay_model``). The
table shows latency by kind of request, the use of the large model, prompt
tokens that were processed again or fetched, and the bytes of gossip; the plot
shows latencies over time. Time is virtual, and a seed always gives the same
table.
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
    HARD_FRACTION,
    KINDS,
    AnsweredRequest,
    LoadKind,
    SimulationResult,
    draw_request,
)
from experiments.relay_model import (
    BASE_SECONDS,
    DECODE_SECONDS,
    ENGINE_FACTS,
    LARGE,
    SERVICE,
    SLOTS,
    SMALL,
    Fleet,
    Host,
)
from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
)
from nutmegroad.escalation.confidence import ESCALATION_THRESHOLD
from nutmegroad.escalation.decisions import EscalationCase, larger_model
from nutmegroad.escalation.headroom import AnswerEstimate
from nutmegroad.foundations.types import ModelName
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.engine_ranks import engine_rank
from nutmegroad.upstreams.prefixes import fingerprint_parts
from nutmegroad.upstreams.selection import Choice, SelectionQuery

#: Number of requests in a burst.
BURST_SIZE: Final = 3

#: Seconds over which the requests of a burst arrive.
BURST_SECONDS: Final = 0.01


class Simulation:
    """Sends a random load to a simulated fleet.

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
        self._answered: list[AnsweredRequest] = []

    async def run(self, rate: float, seconds: float) -> SimulationResult:
        """Send requests in bursts and wait for all answers.

        Args:
            rate: Mean number of requests per second.
            seconds: Virtual time for which requests arrive.
        """
        tasks = self._fleet.start()
        answers: list[asyncio.Task[None]] = []
        while self._clock.now() < seconds:
            pause = self._randomness.expovariate(rate / BURST_SIZE)
            await self._clock.sleep(pause)
            for _ in range(BURST_SIZE):
                request = draw_request(
                    self._randomness, len(answers), self._clock.now()
                )
                answers.append(asyncio.ensure_future(self._answer(*request)))
        await asyncio.gather(*answers)
        for task in tasks:
            task.cancel()
        engines = self._fleet.engines
        return SimulationResult(
            tuple(self._answered),
            sum(engine.reprocessed_tokens for engine in engines),
            sum(engine.fetched_tokens for engine in engines),
            self._fleet.gossip_bytes,
        )

    async def _answer(self, kind: LoadKind, request: CallerRequest) -> None:
        """Answer one request as the relay does.

        The small model answers first; the large one follows if the confidence
        in the first answer is low and the escalation is worthwhile.
        """
        randomness = self._randomness
        await self._clock.sleep(randomness.uniform(0, BURST_SECONDS))
        host = randomness.choice(self._fleet.hosts)
        hard = randomness.random() < HARD_FRACTION
        confidence = randomness.gauss(25 if hard else 75, 15)
        await self._process(host, request, SMALL)
        escalated = confidence < ESCALATION_THRESHOLD and self._should_escalate(
            host,
            request,
            confidence,
        )
        if escalated:
            await self._process(host, request, LARGE)
        self._answered.append(
            AnsweredRequest(
                kind,
                request.arrived,
                self._clock.now() - request.arrived,
                large=escalated,
                poor=hard and not escalated,
            ),
        )

    def _choose(
        self,
        host: Host,
        request: CallerRequest,
        model: ModelName,
    ) -> Choice:
        """Return the engine that a host selects for a request.

        Raises:
            RuntimeError: If no engine is eligible.
        """
        query = SelectionQuery(request, SERVICE, model, ENGINE_FACTS)
        choice = host.selector.choose(query, self._upstreams[host.name], ())
        if choice is None:
            raise RuntimeError('no engine is eligible')
        return choice

    async def _process(
        self,
        host: Host,
        request: CallerRequest,
        model: ModelName,
    ) -> None:
        """Process the prompt of a request with a model.

        Returns when the answer begins; its load stays in the host's ledger
        until its generation ends.
        """
        generation = request.generation
        choice = self._choose(host, request, model)
        if generation is None:
            return
        name = choice.upstream.entry.incarnation
        parts = fingerprint_parts(model, generation.parts)
        host.selector.prefixes.record_sent(
            name, parts, ENGINE_FACTS.cache_tokens
        )
        load = choice.load
        on_prompt_done = host.shared_state.ledger.begin(name, load)
        source = choice.prefill.source_id
        engine = self._fleet.engine(choice.upstream.entry.upstream)
        started = self._clock.now()
        await engine.process_prompt(
            engine_rank(
                choice.prefill.seconds,
                request.route.target_latency,
                request.priority,
            ),
            model,
            generation.parts,
            None if source is None else self._fleet.engine(source),
        )
        on_prompt_done()
        host.selector.latencies.observe(
            SelectionQuery(request, SERVICE, model, ENGINE_FACTS).key,
            choice.prefill.tokens,
            self._clock.now() - started,
            choice.expected_seconds,
        )
        asyncio.get_running_loop().call_later(
            DECODE_SECONDS * generation.expected_tokens,
            host.shared_state.ledger.end,
            name,
            load,
        )

    def _should_escalate(
        self,
        host: Host,
        request: CallerRequest,
        confidence: float,
    ) -> bool:
        """Return whether a request is escalated to the large model."""
        choice = self._choose(host, request, LARGE)
        now = self._clock.now()
        expected = AnswerEstimate(
            choice.expected_seconds,
            choice.expected_seconds + BASE_SECONDS,
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
    gossip_enabled: bool = True,
) -> SimulationResult:
    """Simulate a fleet under load.

    Args:
        hosts: Number of hosts, in three failure domains.
        engines: Number of engines, in the same failure domains.
        rate: Mean number of requests per second.
        seconds: Virtual time for which requests arrive.
        seed: Seed of the load and of the hosts' random choices.
        gossip_enabled: Whether hosts send each other datagrams.
    """
    loop = VirtualLoop()
    clock = VirtualClock(loop)
    fleet = Fleet(hosts, engines, 3, clock, seed, gossip_enabled=gossip_enabled)
    simulation = Simulation(fleet, clock, seed)
    return run_on_virtual_loop(loop, simulation.run(rate, seconds))


def write_table(result: SimulationResult, out: TextIO) -> None:
    """Write the results of a simulation as a Markdown table."""
    out.write('| kind | asked | late | p50 s | p99 s | large | poor |\n')
    out.write('| --- | --- | --- | --- | --- | --- | --- |\n')
    for kind in KINDS:
        matching = [each for each in result.answered if each.kind is kind]
        waits = sorted(each.waited for each in matching)
        late = _fraction(matching, 'late')
        large = _fraction(matching, 'large')
        poor = _fraction(matching, 'poor')
        out.write(
            f'| {kind.name} | {len(matching)} | {late} | '
            f'{statistics.median(waits):.2f} | '
            f'{waits[int(len(waits) * 0.99)]:.2f} | '
            f'{large} | {poor} |\n',
        )
    out.write(
        f'\nprompt tokens reprocessed {result.reprocessed_tokens}, '
        f'fetched {result.fetched_tokens}; '
        f'gossip sent {result.gossip_bytes} bytes\n',
    )


def plot(result: SimulationResult, path: Path) -> None:
    """Plot the latencies over time into a PNG file."""
    figure = Figure(figsize=(10, 4), layout='constrained')
    # An explicit canvas lets matplotlib draw without a display.
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    for kind in KINDS:
        matching = [each for each in result.answered if each.kind is kind]
        axes.scatter(
            [each.arrived for each in matching],
            [each.waited for each in matching],
            s=6,
            label=f'{kind.name}, target {kind.target} s',
        )
    axes.set_xlabel('seconds')
    axes.set_ylabel('seconds until the answer began')
    axes.legend()
    figure.savefig(path)


def _fraction(matching: Sequence[AnsweredRequest], attribute: str) -> str:
    """Return the fraction of requests for which an attribute is true."""
    count = sum(getattr(each, attribute) for each in matching)
    return f'{count / max(1, len(matching)):.3f}'


def main(arguments: list[str] | None = None, out: TextIO = sys.stdout) -> None:
    """Run a simulation and write its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, default=9)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--rate', type=float, default=30.0)
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--silent',
        action='store_true',
        help='disable gossip between hosts',
    )
    parser.add_argument('--plot', type=Path, help='PNG file for the plot')
    options = parser.parse_args(arguments)
    result = simulate(
        hosts=options.hosts,
        engines=options.engines,
        rate=options.rate,
        seconds=options.seconds,
        seed=options.seed,
        gossip_enabled=not options.silent,
    )
    write_table(result, out)
    if options.plot is not None:
        plot(result, options.plot)


if __name__ == '__main__':
    main()
