"""A relay host: builds its components, starts them, and stops gracefully."""

import random
from contextlib import AsyncExitStack
from typing import Final

from nutmegroad.canary.rollout_registry import RolloutRegistry
from nutmegroad.canary.state import RolloutState, canary_share
from nutmegroad.canary.steps import RolloutSteps
from nutmegroad.fleet.host_registration import HostRow, new_link_key
from nutmegroad.fleet.hosts import FleetHosts
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.supervision import (
    Supervisor,
    TaskLabel,
    TaskStart,
)
from nutmegroad.overload.loop_monitor import LoopMonitor
from nutmegroad.relay.assembly import (
    HostComponents,
    assemble,
    make_listeners,
)
from nutmegroad.relay.boundary import HostSettings, Platform
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.detours import Detours
from nutmegroad.relay.followed_tables import (
    PlatformState,
    make_followers,
    table_task,
)
from nutmegroad.relay.intake import Intake
from nutmegroad.relay.listener import BoundSockets
from nutmegroad.relay.serving import CallerHandler
from nutmegroad.relay.status_pages import (
    HostStatus,
    StatusPages,
    register_connection_gauges,
    register_gauges,
    register_table_gauges,
)
from nutmegroad.routes.cached_configuration import CachedConfiguration
from nutmegroad.tables.row_guard import RowGuard
from nutmegroad.tables.upstream_table import UpstreamSink
from nutmegroad.upstreams.directory import Directory
from nutmegroad.upstreams.placement import Evacuations, Placement

_LOG: Final = part_logger('host')

#: Seconds between removals of idle connections and missing upstreams.
SWEEP_INTERVAL: Final = 0.5

#: Maximum seconds for which a starting host delays callers until the first
#: responses of the store: half of what callers allow for reading their request.
STARTUP_WAIT: Final = 0.5

#: Seconds between checks for these responses.
STARTUP_POLL_INTERVAL: Final = 0.005

#: Seconds for which a stopping host accepts new connections. The balancer needs
#: two checks, a second apart, to see that the host is not ready.
LAME_DUCK: Final = 2.6

#: Seconds between checks whether all requests have ended.
STOP_POLL_INTERVAL: Final = 0.05

#: Seconds of the stop's grace period that are reserved for closing.
CLOSE_RESERVE: Final = 0.7


class RelayHost:
    """One host of the fleet: forwards requests of callers to upstreams.

    Args:
        settings: The host's settings.
        platform: What the deployment's adapter provides.
        clock: The host's clock; it must count suspended time.
        bound: Sockets that listen already, if any.
    """

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        clock: Clock,
        bound: BoundSockets | None = None,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._randomness = random.Random(settings.seed)
        self._stack = AsyncExitStack()
        self._listeners = make_listeners(
            self._stack,
            bound,
            platform,
            lambda: self._configuration.connection_limits,
            settings,
            clock,
        )
        self._stopping = False
        self._build()

    @property
    def status(self) -> HostStatus:
        """The present state of this host, for its gauges."""
        memory = self._context.memory
        return HostStatus(
            configuration=self.configuration_version,
            age=self._configuration.age,
            upstreams=len(self._directory),
            rollouts=len(self._rollouts.registry.active),
            open_requests=len(self._caller_handler.busy),
            ready=self.ready,
            returns=self._fleet.store.restores,
            harmful=self._fleet.shared_state.crashes.count_harmful(),
            hosts=self._fleet.peers.count,
            hosts_heard=self._fleet.peers.count_responsive(),
            session_marks=len(self._fleet.shared_state.sessions),
            cut_off=self._detours.dialer.paths.count_cut_off(),
            tunnels=self._detours.server.open_count,
            limited=len(self._fleet.shared_state.limits.in_need()),
            iteration=self._loop_monitor.iteration,
            late=self._loop_monitor.late_seconds,
            held_bodies=memory.bodies,
            held_answers=memory.used - memory.bodies,
            held_limit=memory.total,
            memory_waiting=memory.waiting,
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        return self._configuration.version

    @property
    def keys_valid(self) -> bool:
        """Whether requests that need a key may be accepted."""
        return self._configuration.keys_valid

    @property
    def canary_fraction(self) -> float:
        """Fraction of requests that a new version gets in the canary stage."""
        return self._rollouts.canary_share

    @property
    def ready(self) -> bool:
        """Whether this host wants new connections."""
        if self._stopping or not self._follows_tables:
            return False
        return self._configuration.fresh and self._upstream_sink.listed

    @property
    def _follows_tables(self) -> bool:
        """Whether the tasks run that follow what callers are served by.

        A host where they don't may serve by an outdated state, so that callers
        are better off at another one.
        """
        tables = self._platform.tables
        required = {table_task(tables.operator), table_task(tables.upstreams)}
        return required.isdisjoint(self._supervisor.failing)

    async def start(self) -> None:
        """Start following the platform's tables, and open the listeners."""
        await self._fleet.open(self._stack)
        self._supervisor.start(self._background_tasks(), self._stack)
        pages = StatusPages(
            self._settings.ready_path,
            lambda: self.ready,
            self._platform.counters,
        )
        listeners = self._listeners
        listeners.open(self._settings.ready, pages.answer_ready)
        listeners.open_optional(
            self._settings.metrics,
            pages.answer_metrics,
        )
        await self._wait_until_ready()
        self._callers = listeners.open(
            self._settings.callers,
            self._caller_handler.answer,
        )
        _LOG.decision(
            'started',
            host=self._settings.host,
            callers=str(self._settings.callers),
            ready=str(self._settings.ready),
        )

    async def stop(self) -> None:
        """Let open requests end within the grace period, then close all."""
        self._stopping = True
        self._detours.server.stopping = True
        began = self._clock.now()
        _LOG.decision('stopping', open=len(self._caller_handler.busy))
        await self._clock.sleep(LAME_DUCK)
        # Callers keep connections open; a request could still arrive on an
        # idle one too late to be answered within the grace period.
        await self._callers.close(self._caller_handler.busy, self._clock)
        latest = began + self._settings.grace - CLOSE_RESERVE
        tunnels = self._detours.server
        while (
            self._caller_handler.busy or tunnels.open_count
        ) and self._clock.now() < latest:
            await self._clock.sleep(STOP_POLL_INTERVAL)
        _LOG.decision('stopped', open=len(self._caller_handler.busy))
        await self.close()

    def reload(self, settings: HostSettings) -> None:
        """Apply changed settings; addresses stay until the next start."""
        self._settings = settings
        self._configuration.update_key_validity(settings.key_validity)
        self._context.budget.limit = settings.repeat_limit
        self._rollouts.canary_share = canary_share(settings.exposure)
        self._rollouts.exposure_slack = settings.exposure_allowance
        _LOG.decision(
            'settings reloaded',
            host=settings.host,
            key_trust=settings.key_validity,
            repeat_limit=str(settings.repeat_limit),
            exposure=settings.exposure,
            grace=settings.grace,
        )

    async def close(self) -> None:
        """Close everything immediately."""
        await self._stack.aclose()

    def _build(self) -> None:
        """Build the host's components; none of them runs yet."""
        settings, clock = self._settings, self._clock
        names = self._platform.names
        self._loop_monitor = LoopMonitor(clock)
        self._supervisor = Supervisor(
            clock, self._platform.counters.task_failed
        )
        self._directory = Directory(clock)
        #: Failure domains that the operator has evacuated.
        self.evacuations = Evacuations(clock)
        self.evacuations.on_end(self._directory.mark_domain_absent)
        self._configuration = CachedConfiguration(clock, settings.key_validity)
        connector = Connector(settings.peers.ip)
        self._fleet = FleetHosts(
            settings.host,
            HostRow(
                settings.peers.ip,
                settings.peers.port,
                settings.domain,
                settings.link_mbps,
                new_link_key(),
            ),
            self._platform.store,
            settings.session_window,
            clock,
            self._randomness,
            first=settings.first_start,
        )
        self._detours = Detours(
            settings,
            self._fleet,
            connector,
            self._directory,
            self.evacuations,
            self._platform.counters,
            self._loop_monitor,
        )
        self._rollouts = RolloutState(
            settings.host,
            canary_share(settings.exposure),
            self._fleet.store_clock.now,
            self._fleet.shared_state.evidence,
            self._fleet.count,
            settings.exposure_allowance,
            registry=RolloutRegistry(
                clock.now, self._fleet.shared_state.evidence.stop
            ),
        )
        self._context = assemble(
            settings,
            self._platform,
            HostComponents(
                self._directory,
                self._rollouts,
                self._fleet,
                connector,
                self._detours.dialer,
                Placement(self.evacuations, settings.regions),
            ),
            clock,
            self._randomness,
        )
        self._context.crashes.close_with(self._stack)
        self._detours.server.selector = self._context.selector
        register_gauges(self._platform.counters, self)
        register_connection_gauges(
            self._platform.counters, self._listeners.timeouts
        )
        self._caller_handler = CallerHandler(
            self._context,
            Intake(names, self._configuration, clock),
            names,
            self._randomness,
            lambda: self._stopping,
            lambda: self._settings.max_stall,
        )
        self._upstream_sink = UpstreamSink(
            self._platform.reader,
            self._directory,
            clock,
            settings.drain_notice,
            settings.reconnect_bound,
            self._fleet.outages,
            RowGuard(
                self._platform.tables.upstreams,
                self._platform.counters.row_rejected,
            ),
        )
        self._steps = RolloutSteps(
            self._rollouts,
            self._fleet.store,
            self._platform.status,
            clock,
            self._fleet.duty_rank,
        )

    def _background_tasks(self) -> dict[TaskLabel, TaskStart]:
        """Return the tasks that run for as long as the host, by name."""
        followers = make_followers(
            self._settings,
            self._platform,
            self._fleet,
            self._rollouts,
            PlatformState(
                self._configuration, self.evacuations, self._upstream_sink
            ),
        )
        register_table_gauges(self._platform.counters, followers)
        return {
            **{table_task(each.table): each.run for each in followers},
            **self._fleet.tasks(),
            TaskLabel('rollout steps'): self._steps.run,
            TaskLabel('loop monitor'): self._loop_monitor.run,
            TaskLabel('sweep'): self._sweep,
            TaskLabel('connection timeouts'): self._listeners.timeouts.run,
        }

    async def _wait_until_ready(self) -> None:
        """Wait until callers can be served, up to a short limit."""
        latest = self._clock.now() + STARTUP_WAIT
        while not self.ready and self._clock.now() < latest:
            await self._clock.sleep(STARTUP_POLL_INTERVAL)

    async def _sweep(self) -> None:
        """Remove missing upstreams periodically."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            self._directory.remove_missing()
