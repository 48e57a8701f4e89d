"""Leases on rows of the platform's table, with fencing numbers.

A lease is a row that names its holder and a fencing number, which grows
each time that the lease changes hands. No wall clocks are compared: the
holder counts its term on its own monotonic clock from before its write was
sent, and whoever wants to take over waits for a whole term on its own
clock, counted from when it first saw the row at its present version. A
holder that can't reach the table lapses, and nobody acts.
"""

from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

import msgspec
from msgspec import Struct

from nutmegroad.contracts.platform import Conflict, Row, RowKey, RowWrite, Table
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import FencingNumber, Incarnation, Ran

_LOG: Final = part_logger('leases')

#: Share of a term that a holder leaves unused: clocks run at unlike rates,
#: and a pause may fall between the last look and the first byte.
SAFETY_MARGIN: Final = 0.25

_PREFIX: Final = 'leases/'


class LeaseRow(Struct, frozen=True):
    """The content of a lease's row.

    Attributes:
        holder: Who holds it; empty if it was given up.
        number: Its fencing number.
        term: Seconds for which the holder counts it.
        nonce: Recognises the write whose reply was lost.
    """

    holder: str = ''
    number: int = 0
    term: float = 0
    nonce: str = ''


@dataclass(frozen=True, slots=True)
class Lease:
    """Authority to act, until a moment on the holder's own clock.

    Attributes:
        name: What the lease is for.
        number: Fencing number to put into every order.
        expires: Clock seconds at which it ends, safety margin taken off.
    """

    name: str
    number: FencingNumber
    expires: float


@dataclass(frozen=True, slots=True)
class _Seen:
    """A row of another holder, and when it was first seen so.

    Attributes:
        row: The row.
        since: Clock seconds after the read that first gave it.
    """

    row: Row
    since: float


class LeaseKeeper:
    """Takes, renews and gives up the leases of one host.

    Args:
        holder: The host's incarnation.
        table: Where leases are kept.
        clock: The host's clock.
        nonces: Makes words that never repeat.
        term: Seconds that a lease lasts.
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
        self._seen: dict[str, _Seen] = {}

    @property
    def margin(self) -> float:
        """Return the seconds of a term that a holder leaves unused."""
        return self._term * SAFETY_MARGIN

    async def __aenter__(self) -> Self:
        """Start with no lease held."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give up all leases."""
        for name in tuple(self._held):
            await self.release(name)

    def held(self, name: str) -> Lease | None:
        """Return a lease that this host may act under now, or None."""
        lease = self._held.get(name)
        if lease is None or self._clock.now() >= lease.expires:
            return None
        return lease

    def check(self, lease: Lease, margin: float = 0) -> Refusal | None:
        """Return why nothing may go out under a lease, or None.

        Args:
            lease: The lease that an order was made under.
            margin: Seconds that must be left besides the safety margin.
        """
        present = self._held.get(lease.name)
        if present is None or present.number != lease.number:
            return _lost(lease.name)
        if self._clock.now() + margin >= present.expires:
            return _lost(lease.name)
        return None

    async def keep(self, name: str) -> Lease | Refusal:
        """Renew a lease, or take it if it is free or has lapsed."""
        row = await self._table.read(_key(name))
        if isinstance(row, Refusal):
            return row
        content = _decode(row)
        if content.holder == self._holder:
            return await self._write(name, row, content.number)
        self._held.pop(name, None)
        if content.holder and not self._has_lapsed(name, row, content):
            return Refusal(
                ResultCode.LEASE_HELD,
                f'The lease {name!r} is held by {content.holder}.',
                retry_after=content.term,
            )
        return await self._write(name, row, content.number + 1)

    async def release(self, name: str) -> None:
        """Give a lease up; nothing goes out under it from now on."""
        lease = self._held.pop(name, None)
        if lease is None:
            return
        row = await self._table.read(_key(name))
        if isinstance(row, Refusal) or _decode(row).holder != self._holder:
            return
        free = LeaseRow(number=lease.number, nonce=self._nonces())
        await self._table.commit(
            (RowWrite(row.key, _encode(free), row.version),)
        )
        _LOG.info('%s given up', name)

    def _has_lapsed(self, name: str, row: Row, content: LeaseRow) -> bool:
        """Tell whether a row has stood unchanged for its holder's term.

        The holder's term began before the write that we have seen, so it
        is over when a whole term has passed since we saw it.
        """
        now = self._clock.now()
        seen = self._seen.get(name)
        if seen is None or seen.row.version != row.version:
            self._seen[name] = _Seen(row, now)
            return False
        return now - seen.since >= content.term

    async def _write(
        self,
        name: str,
        row: Row,
        number: int,
    ) -> Lease | Refusal:
        """Write ourselves into the row."""
        nonce = self._nonces()
        wanted = LeaseRow(self._holder, number, self._term, nonce)
        write = RowWrite(row.key, _encode(wanted), row.version)
        # The clock is read before the write is sent: the term of one who
        # waits for ours to lapse may begin as early as that.
        asked = self._clock.now()
        outcome = await self._table.commit((write,))
        if isinstance(outcome, Refusal) and outcome.ran is not Ran.NOT_RUN:
            outcome = await self._read_back(outcome, row.key, wanted)
        if isinstance(outcome, Conflict):
            self._held.pop(name, None)
            return _lost(name)
        if isinstance(outcome, Refusal):
            return outcome
        return self._begin(name, number, asked)

    async def _read_back(
        self,
        refusal: Refusal,
        key: RowKey,
        wanted: LeaseRow,
    ) -> tuple[Row, ...] | Refusal:
        """Look whether a write whose reply was lost took effect."""
        row = await self._table.read(key)
        if isinstance(row, Refusal):
            return refusal
        return (row,) if _decode(row).nonce == wanted.nonce else refusal

    def _begin(self, name: str, number: int, asked: float) -> Lease:
        """Note that a lease is held."""
        lease = Lease(
            name,
            FencingNumber(number),
            asked + self._term - self.margin,
        )
        before = self._held.get(name)
        if before is None or before.number != number:
            _LOG.info('%s taken with number %d', name, number)
        self._held[name] = lease
        self._seen.pop(name, None)
        return lease


def _key(name: str) -> RowKey:
    """Return the row of a lease."""
    return RowKey(f'{_PREFIX}{name}')


def _decode(row: Row) -> LeaseRow:
    """Read a row; one never written is a lease that nobody holds."""
    if not row.text:
        return LeaseRow()
    return msgspec.json.decode(row.text, type=LeaseRow)


def _encode(content: LeaseRow) -> str:
    """Return a row's text."""
    return msgspec.json.encode(content).decode()


def _lost(name: str) -> Refusal:
    """Say that a lease is not held any more."""
    return Refusal(
        ResultCode.LEASE_LOST,
        f'This host does not hold the lease {name!r} any more.',
    )
