"""Current load of upstreams, as reported by all hosts.

Each host counts the requests that it has sent itself and receives the counts of
its peers: several times a second within a failure domain, less often from other
domains.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from msgspec import Struct

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import Measure, Number
from nutmegroad.foundations.types import HostId, UpstreamIncarnation

#: Seconds after which the loads that another host reported expire: by then even
#: a host in another failure domain has missed a round, so it has likely
#: terminated.
LOAD_TTL: Final = 2.5


class Load(Struct, frozen=True, array_like=True):
    """Load of one upstream.

    Attributes:
        running: Number of requests that were sent to it.
        prefill_seconds: Seconds of prompt processing that are still to be done.
        tokens: Tokens that its requests occupy in memory.
    """

    running: Number = 0
    prefill_seconds: Measure = 0
    tokens: Number = 0

    def times(self, factor: int) -> 'Load':
        """Return a multiple of the load."""
        return Load(
            self.running * factor,
            self.prefill_seconds * factor,
            self.tokens * factor,
        )

    def plus(self, other: 'Load') -> 'Load':
        """Return the sum of two loads."""
        return Load(
            self.running + other.running,
            self.prefill_seconds + other.prefill_seconds,
            self.tokens + other.tokens,
        )


NO_LOAD: Final = Load()

Loads = dict[UpstreamIncarnation, Load]

#: Called for each request that is sent: the upstream, and the added load.
RequestCallback = Callable[[UpstreamIncarnation, Load], None]


@dataclass(frozen=True, slots=True)
class _PeerLoads:
    """Loads that a peer has reported.

    Attributes:
        loads: The loads.
        received_at: Clock time in seconds at which they were received.
    """

    loads: Loads
    received_at: float


class LoadLedger:
    """Counts the host's own requests and stores the loads that peers report.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: Loads = {}
        self._by_peer: dict[HostId, _PeerLoads] = {}
        # Sum of the peers' loads. There may be many peers, and each selection
        # of an upstream reads the sum.
        self._peer_sum: Loads = {}
        self._request_callbacks: list[RequestCallback] = []

    @property
    def own(self) -> Loads:
        """Return the load of the requests that this host has sent."""
        return self._own

    def subscribe_to_requests(self, callback: RequestCallback) -> None:
        """Register a callback for each request that this host sends."""
        self._request_callbacks.append(callback)

    def load(self, upstream: UpstreamIncarnation) -> Load:
        """Return the known load of an upstream."""
        self._remove_expired()
        own = self._own.get(upstream, NO_LOAD)
        return own.plus(self._peer_sum.get(upstream, NO_LOAD))

    def begin(
        self, upstream: UpstreamIncarnation, load: Load
    ) -> Callable[[], None]:
        """Count a request that this host sends.

        Args:
            upstream: Where the request is sent.
            load: The load that it adds.

        Returns:
            A function to call once the upstream has processed the prompt; it
            subtracts the load of the prompt.
        """
        self._add_own(upstream, load)
        for callback in self._request_callbacks:
            callback(upstream, load)
        pending = [load.prefill_seconds]

        def prompt_done() -> None:
            """Subtract the load of the prompt; later calls do nothing."""
            if pending:
                self._add_own(upstream, Load(0, -pending.pop(), 0))

        return prompt_done

    def end(self, upstream: UpstreamIncarnation, load: Load) -> None:
        """Subtract a request that has ended.

        The load of its prompt has to be subtracted before, by the function that
        ``begin`` returned.

        Args:
            upstream: Where the request was sent.
            load: The load that was passed to ``begin``.
        """
        self._add_own(upstream, Load(-load.running, 0, -load.tokens))

    def replace_reported(self, host: HostId, loads: Loads) -> None:
        """Replace the loads that a peer has reported."""
        now = self._clock.now()
        before = self._by_peer.pop(host, None)
        # The newest entry is last, so expired ones are found at the beginning.
        self._by_peer[host] = _PeerLoads(loads, now)
        if before is not None:
            self._add_to_sum(before.loads, -1)
        self._add_to_sum(loads, 1)

    def update_reported(self, host: HostId, loads: Loads) -> None:
        """Update the loads that a peer has reported for some upstreams."""
        known = self._by_peer.get(host)
        merged = loads if known is None else {**known.loads, **loads}
        self.replace_reported(host, merged)

    def _remove_expired(self) -> None:
        """Remove the expired loads of peers."""
        oldest = self._clock.now() - LOAD_TTL
        while self._by_peer:
            host, reported = next(iter(self._by_peer.items()))
            if reported.received_at >= oldest:
                break
            self._by_peer.pop(host)
            self._add_to_sum(reported.loads, -1)

    def _add_to_sum(self, loads: Loads, sign: int) -> None:
        """Add the loads of a peer to the sum, or subtract them.

        Args:
            loads: The loads of the peer.
            sign: 1 to add, -1 to subtract.
        """
        for upstream, load in loads.items():
            present = self._peer_sum.get(upstream, NO_LOAD)
            changed = present.plus(load.times(sign))
            if changed.running > 0:
                self._peer_sum[upstream] = changed
            else:
                self._peer_sum.pop(upstream, None)

    def _add_own(self, upstream: UpstreamIncarnation, change: Load) -> None:
        """Change this host's own load at an upstream."""
        present = self._own.get(upstream, NO_LOAD).plus(change)
        if present.running:
            self._own[upstream] = present
        else:
            self._own.pop(upstream, None)
