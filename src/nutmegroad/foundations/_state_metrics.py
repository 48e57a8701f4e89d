"""Gauges of the current state of a host."""

from typing import Final

from prometheus_client import CollectorRegistry, Gauge

from nutmegroad.foundations.types import Presence, Revision

_NAMESPACE: Final = 'nutmegroad'


class StateMetrics:
    """Gauges of the current state of a host.

    Args:
        registry: Registry to which the metrics are added.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._revision_gauge = _gauge(
            'revision',
            'Revision in force',
            registry,
        )
        self._revision_heard_gauge = _gauge(
            'revision_heard',
            'Highest revision of which the host has heard',
            registry,
        )
        self._isolated_gauge = _gauge('isolated', '1 while isolated', registry)
        self._lease_age_gauge = _gauge(
            'lease_age_seconds',
            'Seconds since the configuration was confirmed',
            registry,
        )
        self._loop_iteration_gauge = _gauge(
            'loop_iteration_seconds',
            'Seconds that an iteration of the event loop takes',
            registry,
        )
        self._late_gauge = _gauge(
            'late_seconds',
            'Seconds for which the host has been short of processor time',
            registry,
        )
        self._in_flight_gauge = _gauge(
            'in_flight', 'Requests that run', registry
        )
        self._resident_gauge = _gauge(
            'resident_bytes',
            'Memory that the process holds',
            registry,
        )
        self._queued_gauge = _gauge('queued', 'Requests that wait', registry)
        self._unstored_gauge = Gauge(
            'unstored_records',
            'Records that wait to be stored',
            ('kind',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self._members_gauge = Gauge(
            'members',
            'Hosts that this one knows',
            ('presence',),
            namespace=_NAMESPACE,
            registry=registry,
        )

    def set_revision(self, revision: Revision) -> None:
        """Set the configuration revision in force."""
        self._revision_gauge.set(revision)

    def set_revision_heard(self, revision: Revision) -> None:
        """Set the highest configuration revision known to the host."""
        self._revision_heard_gauge.set(revision)

    def set_isolated(self, isolated: bool) -> None:
        """Set whether the host is isolated.

        It is isolated while nothing confirms its configuration.
        """
        self._isolated_gauge.set(isolated)

    def set_lease_age(self, seconds: float) -> None:
        """Set the seconds since the configuration was last confirmed."""
        self._lease_age_gauge.set(seconds)

    def set_lateness(self, iteration: float, late: float) -> None:
        """Set whether the host is short of processor time.

        Args:
            iteration: Seconds that an iteration of the event loop takes.
            late: Seconds for which the host has been late; 0 if it is not.
        """
        self._loop_iteration_gauge.set(iteration)
        self._late_gauge.set(late)

    def set_in_flight(self, requests: int) -> None:
        """Set the number of requests that are being executed."""
        self._in_flight_gauge.set(requests)

    def set_queued(self, requests: int) -> None:
        """Set the number of queued requests."""
        self._queued_gauge.set(requests)

    def set_resident_bytes(self, size: int) -> None:
        """Set the resident memory of the process, in bytes."""
        self._resident_gauge.set(size)

    def set_unstored_records(self, kind: str, records: int) -> None:
        """Set the number of records of a kind that wait to be stored."""
        self._unstored_gauge.labels(kind).set(records)

    def set_members(self, presence: Presence, hosts: int) -> None:
        """Set the number of known hosts in a lifecycle state."""
        self._members_gauge.labels(presence.value).set(hosts)


def _gauge(name: str, help_text: str, registry: CollectorRegistry) -> Gauge:
    """Return a gauge without labels."""
    return Gauge(name, help_text, namespace=_NAMESPACE, registry=registry)
