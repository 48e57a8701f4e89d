"""Attributes crashes of upstreams to what the requests under them share.

All requests that run at an upstream are interrupted when it crashes, and most
of them are sent on to the same next one. Their attributes meet the same crashes
as the cause does. An attribute counts as a cause only for crashes that no
likelier one explains: an attribute that no upstream has ever answered goes
before one that was answered, then the one with more crashes, then the one that
fewer requests have.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from nutmegroad.fleet.crash_records import (
    HARMFUL_CRASHES,
    CrashRecord,
    UpstreamCrash,
    UpstreamFingerprint,
    series_length,
)
from nutmegroad.fleet.request_attributes import (
    Attribute,
    AttributeFingerprint,
    RequestAttributes,
    Scope,
)

#: Seconds after the last crash before a request may be probed. By then all
#: hosts know of the crash, and the crashed upstreams are still down.
PROBE_DELAY: Final = 1.0

#: Seconds by which a probe is delayed if its request has several shared
#: attributes that the crashes may be due to.
JOINT_PROBE_DELAY: Final = 5.0

#: Seconds for which requests are blocked once a further upstream has crashed:
#: it has to be repaired by hand. Doubles with each further crash.
BLOCK_PAUSE: Final = 600.0

#: Maximum seconds for which requests are blocked: one day.
MAX_BLOCK_PAUSE: Final = 86_400.0

#: Seconds for which requests are blocked for an attribute that was answered
#: before or is broad. It is short, as many sound requests may have it.
COMMON_PAUSE: Final = 10.0

#: Seconds after its start in which a host may not know what was answered
#: before.
WARM_UP: Final = 10.0

#: Maximum number of attributes that explain the crashes under another one.
MAX_CAUSES: Final = 3


@dataclass(frozen=True, slots=True)
class BlockedRequest:
    """A request that is blocked because it may crash upstreams.

    Attributes:
        crash_count: Number of crashes in series.
        pause: Seconds until a probe execution is allowed; 0 if it is now.
        causes: The attributes that the crashes are attributed to.
    """

    crash_count: int
    pause: float
    causes: RequestAttributes


@dataclass(frozen=True, slots=True)
class _Cause:
    """An attribute of a request to which crashes are attributed.

    Attributes:
        attribute: The attribute.
        crash_count: Number of crashes in series.
        until: Clock time in seconds at which a probe execution is allowed.
    """

    attribute: Attribute
    crash_count: int
    until: float


def find_block(
    attributes: RequestAttributes,
    suspects: Mapping[AttributeFingerprint, CrashRecord],
    now: float,
    *,
    is_cold: bool = False,
) -> BlockedRequest | None:
    """Return why a request is blocked, or None if it is not.

    Args:
        attributes: The request's attributes.
        suspects: Records of all attributes that crashes may be due to.
        now: The host's clock time in seconds.
        is_cold: Whether this host may not know what was answered before. What
            all requests have in common then looks like a cause, and only a
            probe execution tells.
    """
    own = {each.fingerprint for each in attributes}
    others = [
        record
        for fingerprint, record in suspects.items()
        if fingerprint not in own
    ]
    causes = []
    for attribute in attributes:
        record = suspects.get(attribute.fingerprint)
        if record is None:
            continue
        likelier = [
            other for other in suspects.values() if _is_likelier(other, record)
        ]
        cause = _find_cause(
            attribute, record, likelier, others, is_cold=is_cold
        )
        if cause is not None:
            causes.append(cause)
    if not causes:
        return None
    pause = max(cause.until - now for cause in causes)
    if sum(cause.attribute.scope is Scope.SHARED for cause in causes) > 1:
        # The probe of a request with one of them tells which it is.
        pause += JOINT_PROBE_DELAY
    return BlockedRequest(
        max(cause.crash_count for cause in causes),
        max(0, pause),
        tuple(cause.attribute for cause in causes),
    )


def _find_cause(
    attribute: Attribute,
    record: CrashRecord,
    likelier: list[CrashRecord],
    others: list[CrashRecord],
    *,
    is_cold: bool,
) -> _Cause | None:
    """Return what is attributed to one attribute of a request, or None.

    Args:
        attribute: The attribute.
        record: Its record.
        likelier: Records of attributes that crashes are due to before it.
        others: Records of suspected attributes that the request does not have.
        is_cold: Whether this host may not know what was answered before.
    """
    remaining = _unexplained_crashes(record, likelier)
    if not record.is_suspect_by(remaining):
        return None
    possible: set[UpstreamFingerprint] = set()
    for other in others:
        if record.has_progressed or not other.has_progressed:
            possible.update(other.crashes)
    is_ambiguous = (is_cold and record.scope is Scope.SHARED) or all(
        crash.upstream in possible for crash in remaining
    )
    length = series_length(remaining)
    latest = max(crash.crashed_at for crash in remaining)
    return _Cause(
        attribute,
        max(length, HARMFUL_CRASHES),
        latest + _pause(record, remaining, is_ambiguous=is_ambiguous),
    )


def _is_likelier(other: CrashRecord, record: CrashRecord) -> bool:
    """Return whether crashes are due to another attribute before this one."""
    if Scope.BROAD in {other.scope, record.scope}:
        # Some request with a broad one runs at nearly every upstream.
        return other.scope < record.scope
    if other.has_progressed is not record.has_progressed:
        return record.has_progressed
    if len(other.crashes) == len(record.crashes):
        return other.scope < record.scope
    return len(other.crashes) > len(record.crashes)


def _unexplained_crashes(
    record: CrashRecord, likelier: list[CrashRecord]
) -> tuple[UpstreamCrash, ...]:
    """Return the crashes that a few likelier attributes do not explain.

    Many attributes explain any crashes: each request has some that meet all
    of its own. Hence only those that explain most are taken into account.
    """
    unexplained = set(record.crashes)
    for _ in range(MAX_CAUSES):
        unexplained -= max(
            (unexplained.intersection(other.crashes) for other in likelier),
            key=len,
            default=set(),
        )
    return tuple(
        crash
        for upstream, crash in record.crashes.items()
        if upstream in unexplained
    )


def _pause(
    record: CrashRecord,
    crashes: tuple[UpstreamCrash, ...],
    *,
    is_ambiguous: bool,
) -> float:
    """Return for how many seconds after the last crash requests are blocked.

    Args:
        record: The record of the attribute.
        crashes: The crashes that are attributed to it.
        is_ambiguous: Whether they may all be due to attributes that the request
            does not have. Its probe execution tells.
    """
    length = series_length(crashes)
    further = length - HARMFUL_CRASHES
    if record.scope is Scope.SHARED and not record.has_progressed:
        # Those of one moment are no coincidence if another one follows them.
        further = min(len(crashes) - HARMFUL_CRASHES, length - 1)
    if further < 1 or is_ambiguous:
        return PROBE_DELAY
    if record.scope is Scope.BROAD or record.has_progressed:
        return COMMON_PAUSE
    doubled = BLOCK_PAUSE * float(2 ** (further - 1))
    return min(MAX_BLOCK_PAUSE, doubled)
