"""Judges of hosts that are cut off, and of workers that take few requests."""

from typing import Final

from experiments.fleet_soak.history import Bounds, History, HostCut, Verdict
from experiments.fleet_soak.limit_rule import (
    CONTACT,
    allowed_requests,
    most_requests,
)

#: Fraction of the other hosts' share served that a cut host may fall short by.
_SHORTFALL: Final = 1 / 3

#: Falls that are tolerated in one time, and a part of the number of workers.
_TOLERATED_FALLS: Final = 2
_TOLERATED_PART: Final = 0.1

#: Failures that are tolerated at cut hosts, and a part of their requests.
_TOLERATED_FAILURES: Final = 10
_TOLERATED_FAILED: Final = 0.02


def cut_off_hosts_serve(history: History, bounds: Bounds) -> Verdict:
    """Hosts without a path to any worker serve like the other hosts.

    Judged from some seconds after a cut began, against hosts that were not cut
    off meanwhile, if nothing else was wrong.
    """
    checked = 0
    violations = []
    for cut in history.cuts:
        if not history.is_fault_free(cut.since, cut.until, bounds.propagation):
            continue
        at_cut, at_others = _served(
            history, cut, cut.since + bounds.propagation
        )
        checked += len(at_cut)
        if _is_served_worse(at_cut, at_others):
            violations.append(
                f'{at_cut.count(True)} of {len(at_cut)} at {cut.hosts}, '
                f'{at_others.count(True)} of {len(at_others)} at others'
            )
    return Verdict('hosts cut off', checked, tuple(violations))


def brittle_workers_stay_up(history: History, bounds: Bounds) -> Verdict:
    """Brittle workers rarely fall over."""
    checked = 0
    violations = []
    for period in history.brittle_times:
        if not history.is_fault_free(
            period.since, period.until, bounds.propagation
        ):
            continue
        checked += 1
        falls = sum(
            period.since <= moment <= period.until for moment in history.falls
        )
        if falls > _TOLERATED_FALLS + _TOLERATED_PART * period.workers:
            violations.append(f'{falls} falls of {period.workers} workers')
    return Verdict('brittle workers', checked, tuple(violations))


def limits_hold(history: History, bounds: Bounds) -> Verdict:
    """Workers in need get no more requests than they name, if calm."""
    checked = 0
    violations = []
    for period in history.need_times:
        begin = period.since + CONTACT
        if not history.is_fault_free(
            period.since, period.until, bounds.propagation
        ):
            continue
        checked += 1
        most = most_requests(
            sorted(
                each.started_at
                for each in history.executions
                if each.worker == period.worker
                and begin <= each.started_at <= period.until
            )
        )
        if most > allowed_requests(period.limit):
            violations.append(f'{period.worker}: {most} in a window')
    return Verdict('limits of workers', checked, tuple(violations))


def _cut_meanwhile(history: History, cut: HostCut) -> set[str]:
    """Return the names of the hosts that were cut off during a cut."""
    return {
        f'host-{number}'
        for other in history.cuts
        if other.since <= cut.until and cut.since <= other.until
        for number in other.hosts
    }


def _served(
    history: History, cut: HostCut, begin: float
) -> tuple[list[bool], list[bool]]:
    """Return which requests were served, at the cut hosts and at others."""
    at_cut: list[bool] = []
    at_others: list[bool] = []
    names = {f'host-{number}' for number in cut.hosts}
    cut_meanwhile = _cut_meanwhile(history, cut)
    for each in history.requests:
        if each.abandoned or not begin <= each.sent_at < cut.until:
            continue
        if each.key in history.revoked_at:
            continue
        if each.host in names:
            at_cut.append(each.served)
        elif each.host not in cut_meanwhile:
            at_others.append(each.served)
    return at_cut, at_others


def _is_served_worse(at_cut: list[bool], at_others: list[bool]) -> bool:
    """Return whether cut hosts have served too little."""
    tolerated = _TOLERATED_FAILURES + _TOLERATED_FAILED * len(at_cut)
    if at_cut.count(False) <= tolerated or not at_others:
        return False
    return _share(at_cut) < (1 - _SHORTFALL) * _share(at_others)


def _share(served: list[bool]) -> float:
    """Return the fraction of requests that were served."""
    return served.count(True) / len(served)
