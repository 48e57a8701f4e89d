"""Leases with fencing numbers, stored in rows of the platform's table.

The row of a lease names its holder and a fencing number, which increases each
time the lease changes hands. Clocks of different hosts are never compared. The
holder counts its term on its own monotonic clock, from before it sent the
write. A host that wants to take over waits for a whole term on its own clock,
counted from when it first read the row at its current version. If the table is
unavailable, the holder's lease expires and no host can act.
"""

from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

import msgspec
from msgspec import Struct

from nutmegroad.contracts.platform import Conflict, Row, RowKey, RowWrite, Table
from nutmegroad.contracts.rows import decode_row
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import Count, Seconds
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import FencingNumber, Incarnation, Ran

_LOG: Final = part_logger('leases')

#: Fraction of a term that a holder does not use, since the rates of clocks
#: differ and the process may pause between the last check and the first byte.
SAFETY_MARGIN: Final = 0.25

_PREFIX: Final = 'leases/'


class LeaseRow(Struct, frozen=True):
    """The content of a lease's row.

    Attributes:
        holder: Incarnation of the holder; empty if the lease was released.
        number: The fencing number.
        term: Duration of the lease in seconds, from the holder's write.
        nonce: Identifies a write whose reply was lost.
    """

    holder: str = ''
    number: Count = 0
    term: Seconds = 0
    nonce: str = ''


@dataclass(frozen=True, slots=True)
class Lease:
    """Permission to act until a time on the holder's own clock.

    Attributes:
        name: Name of the lease.
        number: Fencing number to include in every order.
        expires: Clock seconds at which it ends, less the safety margin.
    """

    name: str
    number: FencingNumber
    expires: float


@dataclass(frozen=True, slots=True)
class _ObservedRow:
    """The row of another holder, and when it was first read.

    Attributes:
        row: The row.
        since: Clock seconds after the read that first returned it.
    """

    row: Row
    since: float


class LeaseManager:
    """Acquires, renews and releases the leases of one host.

    Args:
        holder: The host's incarnation.
        table: The table that stores the leases.
        clock: The host's clock.
        nonces: Generates unique nonces.
        term: Duration of a lease in seconds.
    """

    def __init__(
        self,
        holder: Incarnation,
        table: Table,
        clock: Clock,
        nonces: Callable[[], str],
        term: float,
    ) -> None:
        self._holder = holder
        self._table = table
        self._clock = clock
        self._nonces = nonces
        self._term = term
        self._held: dict[str, Lease] = {}
        self._observed: dict[str, _ObservedRow] = {}

    @property
    def margin(self) -> float:
        """Seconds of a term that a holder does not use."""
        return self._term * SAFETY_MARGIN

    async def __aenter__(self) -> Self:
        """Return this object, without any lease yet."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release all leases."""
        for name in tuple(self._held):
            await self.release(name)

    def valid_lease(self, name: str) -> Lease | None:
        """Return a lease if this host holds it and it is valid now."""
        lease = self._held.get(name)
        if lease is None or self._clock.now() >= lease.expires:
            return None
        return lease

    def check(self, lease: Lease, margin: float = 0) -> Refusal | None:
        """Return why nothing may be sent under a lease, or None.

        Args:
            lease: The lease under which an order was made.
            margin: Seconds that must remain besides the safety margin.
        """
        current = self._held.get(lease.name)
        if current is None or current.number != lease.number:
            return _lease_lost(lease.name)
        if self._clock.now() + margin >= current.expires:
            return _lease_lost(lease.name)
        return None

    async def acquire(self, name: str) -> Lease | Refusal:
        """Renew a lease, or acquire it if it is free or has expired."""
        row = await self._table.read(_key(name))
        if isinstance(row, Refusal):
            return row
        content = _decode(row)
        if isinstance(content, Refusal):
            # The number of the last lease is not known, so none can follow it.
            self._held.pop(name, None)
            return content
        if content.holder == self._holder:
            return await self._write(name, row, content.number)
        self._held.pop(name, None)
        if content.holder and not self._has_expired(name, row, content):
            return Refusal(
                ResultCode.LEASE_HELD,
                f'The lease {name!r} is held by {content.holder}.',
                retry_after=content.term,
            )
        return await self._write(name, row, content.number + 1)

    async def release(self, name: str) -> None:
        """Release a lease; from now on nothing is sent under it."""
        lease = self._held.pop(name, None)
        if lease is None:
            return
        row = await self._table.read(_key(name))
        if isinstance(row, Refusal):
            return
        content = _decode(row)
        if isinstance(content, Refusal) or content.holder != self._holder:
            return
        free = LeaseRow(number=lease.number, nonce=self._nonces())
        await self._table.commit(
            (RowWrite(row.key, _encode(free), row.version),)
        )
        _LOG.info('lease %s released', name)

    def _has_expired(self, name: str, row: Row, content: LeaseRow) -> bool:
        """Return whether a row has been unchanged for its holder's term.

        The holder's term began before the write that this host has read, so it
        is over once a whole term has passed since that read.
        """
        now = self._clock.now()
        observed = self._observed.get(name)
        if observed is None or observed.row.version != row.version:
            self._observed[name] = _ObservedRow(row, now)
            return False
        return now - observed.since >= content.term

    async def _write(
        self,
        name: str,
        row: Row,
        number: int,
    ) -> Lease | Refusal:
        """Write this host into the row as the holder."""
        nonce = self._nonces()
        wanted = LeaseRow(self._holder, number, self._term, nonce)
        write = RowWrite(row.key, _encode(wanted), row.version)
        # The clock is read before the write is sent, since a host that waits
        # for this lease to expire may begin to count that early.
        started = self._clock.now()
        outcome = await self._table.commit((write,))
        if isinstance(outcome, Refusal) and outcome.ran is not Ran.NOT_RUN:
            outcome = await self._read_back(outcome, row.key, wanted)
        if isinstance(outcome, Conflict):
            self._held.pop(name, None)
            return _lease_lost(name)
        if isinstance(outcome, Refusal):
            return outcome
        return self._store_lease(name, number, started)

    async def _read_back(
        self,
        refusal: Refusal,
        key: RowKey,
        wanted: LeaseRow,
    ) -> tuple[Row, ...] | Refusal:
        """Check by nonce whether a write whose reply was lost took effect."""
        row = await self._table.read(key)
        if isinstance(row, Refusal):
            return refusal
        content = _decode(row)
        if isinstance(content, Refusal) or content.nonce != wanted.nonce:
            return refusal
        return (row,)

    def _store_lease(self, name: str, number: int, started: float) -> Lease:
        """Record a lease that was acquired or renewed."""
        lease = Lease(
            name,
            FencingNumber(number),
            started + self._term - self.margin,
        )
        previous = self._held.get(name)
        if previous is None or previous.number != number:
            _LOG.info('lease %s acquired, fencing number %d', name, number)
        self._held[name] = lease
        self._observed.pop(name, None)
        return lease


def _key(name: str) -> RowKey:
    """Return the key of a lease's row."""
    return RowKey(f'{_PREFIX}{name}')


def _decode(row: Row) -> LeaseRow | Refusal:
    """Decode a row; one that was never written is a free lease."""
    if not row.text:
        return LeaseRow()
    return decode_row(row, LeaseRow)


def _encode(content: LeaseRow) -> str:
    """Encode the content of a row."""
    return msgspec.json.encode(content).decode()


def _lease_lost(name: str) -> Refusal:
    """Return the refusal for a lease that this host no longer holds."""
    return Refusal(
        ResultCode.LEASE_LOST,
        f'This host no longer holds the lease {name!r}.',
    )
