"""What hosts write into the platform's store of requests that end upstreams.

Hosts tell each other by datagrams; the rows are for those that can't hear them,
and for hosts that start when nobody is left who knows. One row holds all that
lasts, so there is nothing to tidy up; another one holds who tries what.
"""

from collections.abc import Callable
from typing import Final

import msgspec
from msgspec import Struct

from nutmegroad.fleet.content_marks import ContentMark, spell_mark
from nutmegroad.fleet.crash_book import (
    HARMFUL,
    NEVER,
    CrashBook,
    EndUnder,
    UpstreamMark,
)
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.stored import (
    FLEET_TABLE,
    Committed,
    RowExpected,
    RowPut,
    Store,
    StoredRow,
)
from nutmegroad.fleet.turns import delay_of_turn
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal

_LOG: Final = part_logger('crashes')

CRASHES_KEY: Final = 'crashes/'
_ENDS: Final = 'ends'
_TRIALS: Final = 'trials'

#: Ends under a request from which it is written down: most requests that a
#: crash meets are answered elsewhere, and are never written.
FEWEST_WRITTEN: Final = 2

#: Ends that the row holds at most, so that it stays below half of what the
#: platform takes; when it is full, just harmful requests are added.
MOST_ENDS: Final = 400

#: Answers that the row holds at most.
MOST_ANSWERS: Final = 200

#: Seconds between looks at what is to be written.
LOOK: Final = 0.25

#: Seconds by which the second host waits behind the first with what any of
#: them may write.
SPREAD: Final = 0.4

#: Seconds after a write that the store has not done before the next: while it
#: is away, datagrams have told all hosts that can be told.
AGAIN: Final = 2.0

#: Seconds between writes that only clear requests: nobody is refused for what
#: they clear, since hosts tell each other of answers.
CLEARING: Final = 5.0

#: Seconds between trials of any two requests: one that ends upstreams does so
#: within a moment, so only one of them is under way at that moment.
BETWEEN_TRIALS: Final = 1.0

#: Seconds after which a request may be tried again of whose trial nothing came.
TRIAL_TIME: Final = 10.0


class _EndRow(Struct, frozen=True, array_like=True):
    """An end; times are the store's seconds."""

    content: ContentMark
    upstream: UpstreamMark
    began: float
    ended: float


class _AnswerRow(Struct, frozen=True, array_like=True):
    """A whole answer; its time is the store's."""

    content: ContentMark
    moment: float


class _CrashRow(Struct, frozen=True):
    """All that lasts."""

    ends: tuple[_EndRow, ...] = ()
    answers: tuple[_AnswerRow, ...] = ()


class _TrialRow(Struct, frozen=True, array_like=True):
    """A trial; its time is the store's."""

    content: ContentMark
    began: float


class _TrialsRow(Struct, frozen=True):
    """The last trials."""

    trials: tuple[_TrialRow, ...] = ()


class CrashRows:
    """Keeps what lasts in step with the platform's store.

    Args:
        book: What this host knows.
        store: The platform's store.
        store_clock: Its clock.
        clock: The host's clock.
        turn: Returns this host's place among all for something one has to do.
    """

    def __init__(
        self,
        book: CrashBook,
        store: Store,
        store_clock: StoreClock,
        clock: Clock,
        turn: Callable[[str], int],
    ) -> None:
        self._book = book
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._turn = turn
        self._row = _CrashRow()
        self._version = 0
        self._trials = _TrialsRow()
        self._trials_version = 0
        self._refused = NEVER
        self._written = NEVER

    def take(self, name: str, row: StoredRow, store_time: float) -> None:
        """Take in a row of the store.

        Args:
            name: Which one.
            row: The row.
            store_time: The store's seconds as it was read.

        Raises:
            DecodeError: If it can't be read.
        """
        if name == _ENDS:
            self._row = msgspec.json.decode(row.content, type=_CrashRow)
            self._version = row.version
            self._take_ends(store_time)
        elif name == _TRIALS:
            self._trials = msgspec.json.decode(row.content, type=_TrialsRow)
            self._trials_version = row.version

    def went_back(self) -> None:
        """Forget the rows; those that the store still has are read next."""
        self._row = _CrashRow()
        self._version = 0
        self._trials_version = 0

    async def run(self) -> None:
        """Write what is missing in the row, until cancelled."""
        while True:
            await self._clock.sleep(LOOK)
            if not self._is_due():
                continue
            delay = delay_of_turn(self._turn(CRASHES_KEY), SPREAD)
            await self._clock.sleep(delay)
            await self.write()

    async def write(self) -> None:
        """Write what is missing at once, if anything is.

        For the host that has seen a request become harmful: nobody else may
        know of it yet, and it may be lost itself.
        """
        if self._is_due():
            await self._write()

    async def claim(self, content: ContentMark) -> bool:
        """Tell whether this host may try a harmful request now.

        Of all hosts one may; without the store none.
        """
        now = self._store_clock.now()
        recent = tuple(
            trial
            for trial in self._trials.trials
            if now - trial.began < TRIAL_TIME
        )
        if any(
            trial.content == content or now - trial.began < BETWEEN_TRIALS
            for trial in recent
        ):
            return False
        trials = _TrialsRow((*recent, _TrialRow(content, now)))
        key = f'{CRASHES_KEY}{_TRIALS}'
        outcome = await self._store.commit(
            (RowExpected(FLEET_TABLE, key, self._trials_version),),
            (RowPut(FLEET_TABLE, key, msgspec.json.encode(trials)),),
        )
        if isinstance(outcome, Committed):
            self._trials = trials
            self._trials_version = outcome.version
            return True
        return False

    def _take_ends(self, store_time: float) -> None:
        """Take in what the row holds."""
        for row in self._row.ends:
            end = EndUnder(
                row.upstream,
                self._moment(row.began, store_time),
                self._moment(row.ended, store_time),
            )
            self._book.ended(row.content, end)
        for answer in self._row.answers:
            moment = self._moment(answer.moment, store_time)
            self._book.answered(answer.content, moment)

    def _moment(self, stored: float, store_time: float) -> float:
        """Return the host's time of a moment of the store's."""
        since_read = self._clock.now() - max(0, store_time - stored)
        known = self._store_clock.moment(stored)
        return since_read if known == NEVER else min(known, since_read)

    def _is_due(self) -> bool:
        """Tell whether the row lacks something that it should have."""
        if self._store_clock.age == float('inf'):
            return False
        if self._clock.now() - self._refused < AGAIN:
            return False
        if self._missing():
            return True
        waited = self._clock.now() - self._written
        return waited >= CLEARING and bool(self._cleared())

    def _missing(self) -> dict[ContentMark, tuple[EndUnder, ...]]:
        """Return the requests of which the row lacks an end."""
        known = {(row.content, row.upstream) for row in self._row.ends}
        is_full = len(known) >= MOST_ENDS
        least = HARMFUL if is_full else FEWEST_WRITTEN
        return {
            content: ends
            for content, ends in self._book.ends(least).items()
            if any((content, end.upstream) not in known for end in ends)
        }

    def _cleared(self) -> set[ContentMark]:
        """Return the requests of the row that were answered since."""
        listed = {row.content for row in self._row.ends}
        return {each for each in listed if not self._book.ends_of(each)}

    async def _write(self) -> None:
        """Write the row, unless another host is first."""
        row = self._make()
        key = f'{CRASHES_KEY}{_ENDS}'
        self._written = self._clock.now()
        outcome = await self._store.commit(
            (RowExpected(FLEET_TABLE, key, self._version),),
            (RowPut(FLEET_TABLE, key, msgspec.json.encode(row)),),
        )
        if isinstance(outcome, Committed):
            self._row = row
            self._version = outcome.version
            _LOG.decision(
                'crashes written',
                ends=len(row.ends),
                answers=len(row.answers),
                harmful=[
                    spell_mark(content) for content in self._book.ends(HARMFUL)
                ],
            )
            return
        why = 'another host was first'
        if isinstance(outcome, Refusal):
            why = outcome.reason
            self._refused = self._clock.now()
        _LOG.decision('crashes not written', why=why)

    def _make(self) -> _CrashRow:
        """Return the row as it should be: what this host knows."""
        ends = self._book.ends(FEWEST_WRITTEN)
        for row in self._row.ends:
            known = self._book.ends_of(row.content)
            if known:
                ends[row.content] = known
        heaviest = sorted(ends.items(), key=_weight, reverse=True)
        rows = [
            self._row_of(content, end)
            for content, under in heaviest
            for end in under
        ]
        return _CrashRow(tuple(rows[:MOST_ENDS]), self._answers())

    def _row_of(self, content: ContentMark, end: EndUnder) -> _EndRow:
        """Return an end as it is written."""
        return _EndRow(
            content,
            end.upstream,
            self._stored(end.began),
            self._stored(end.ended),
        )

    def _answers(self) -> tuple[_AnswerRow, ...]:
        """Return the answers that cleared requests of the row."""
        moments = {row.content: row.moment for row in self._row.answers}
        for cleared in self._cleared():
            answered = self._book.answer_of(cleared)
            if answered is not None:
                moments[cleared] = self._stored(answered)
        newest = sorted(moments.items(), key=_second, reverse=True)
        return tuple(
            _AnswerRow(content, moment)
            for content, moment in newest[:MOST_ANSWERS]
        )

    def _stored(self, moment: float) -> float:
        """Return a moment of the host's as the store's seconds."""
        behind = self._clock.now() - self._store_clock.now()
        return round(moment - behind, 3)


def _weight(
    entry: tuple[ContentMark, tuple[EndUnder, ...]],
) -> tuple[int, float]:
    """Return what requests are ordered by: ends, then the latest of them."""
    ends = entry[1]
    return len(ends), max((end.ended for end in ends), default=0)


def _second(entry: tuple[ContentMark, float]) -> float:
    """Return when a request was answered."""
    return entry[1]
