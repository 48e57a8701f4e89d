"""Requests that end the engines which run them, kept from doing it again.

What is remembered is a request's content, since it comes again under other ids,
and at other hosts. Whoever runs beside it looks the same, so before a request
is kept out for long, one host of each failure domain tries it once more.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import ClassVar, Final

import msgspec

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import EngineClient
from nutmegroad.fleet.content_marks import (
    ContentMark,
    mark_content,
    spell_mark,
)
from nutmegroad.fleet.crash_book import (
    CrashBook,
    EndUnder,
    ToldCrashes,
    mark_upstream,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, Ran, UpstreamIncarnation
from nutmegroad.routing.attempts import Trial

_LOG: Final = part_logger('harmful')

#: Seconds for which a request waits until it is known whether its engine has
#: ended; a machine without power does not say so, and the request goes on.
LOOK_WAIT: Final = 0.05

#: Seconds within which a host does not try the same request again.
TRIED_SPAN: Final = 10.0

#: Seconds after which a caller may come back to see what a trial has shown.
TRIED_NEXT: Final = 1.5

#: Requests that are remembered as tried at most.
MOST_TRIED: Final = 1000

#: Seconds between two tellings while there is something to tell.
PERIOD: Final = 0.25

#: What an attempt ends with whose engine may have ended under it.
_BREAKS: Final = frozenset((ResultCode.ANSWER_CUT, ResultCode.UPSTREAM_ERROR))


class CrashDigest(Message, frozen=True, tag='crash-digest'):
    """Under which requests engines have ended a moment ago.

    Attributes:
        crashes: The ends, and answers since.
    """

    part: ClassVar[str] = 'harmful'
    replaceable: ClassVar[bool] = True

    crashes: ToldCrashes


class HarmfulRequests:
    """Knows which requests are kept from engines.

    Args:
        engines: How engines are reached.
        clock: The host's clock.
    """

    def __init__(self, engines: EngineClient, clock: Clock) -> None:
        self.book = CrashBook(clock)
        #: Tells whether this host may try a request that is kept out.
        self.may_try: Callable[[ContentMark], bool] = _always
        self._engines = engines
        self._clock = clock
        # When each was tried last, the latest at the end.
        self._tried: dict[ContentMark, float] = {}

    def keeps_out(self, request: ModelRequest) -> Refusal | None:
        """Return why a request may not go to an engine now, or None."""
        content = content_of(request)
        harmful = self.book.harmful(content)
        if harmful is None:
            return None
        if not harmful.pause and self._claim(content):
            _LOG.decision(
                'tried once more',
                request=request.request,
                content=spell_mark(content),
                ends=harmful.ends,
            )
            return None
        return Refusal(
            ResultCode.REQUEST_HARMFUL,
            f'{harmful.ends} engines have ended under it.',
            Ran.NOT_RUN,
            max(harmful.pause, TRIED_NEXT),
        )

    async def ended(self, request: ModelRequest, trial: Trial) -> None:
        """Take in how an attempt ended."""
        refusal = trial.received.refusal
        if trial.received.ending is not None:
            self._answered(request)
        elif refusal is not None and refusal.code in _BREAKS:
            await self._broke(request, trial)

    def _answered(self, request: ModelRequest) -> None:
        """Take in a whole answer; it clears the request."""
        content = content_of(request)
        if self.book.answered(content, self._clock.now()):
            _LOG.decision(
                'cleared by an answer',
                request=request.request,
                content=spell_mark(content),
            )

    async def _broke(self, request: ModelRequest, trial: Trial) -> None:
        """Find out whether the engine of a broken attempt has ended."""
        now = self._clock.now()
        end = trial.end
        seconds = 0 if end is None else end.seconds
        if not await self._has_ended(trial):
            return
        content = content_of(request)
        # An engine starts again under its id; an attempt names just one end.
        name = UpstreamIncarnation(
            f'{trial.start.upstream}/{trial.start.attempt}',
        )
        under = EndUnder(mark_upstream(name), now - seconds, now)
        self.book.ended(content, under)
        _LOG.decision(
            'engine ended under it',
            request=request.request,
            content=spell_mark(content),
            upstream=trial.start.upstream,
            version=trial.start.version,
            ran=round(seconds, 3),
            ends=len(self.book.ends_of(content)),
        )

    async def _has_ended(self, trial: Trial) -> bool:
        """Tell whether an engine accepts no connection any more."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LOOK_WAIT):
                report = await self._engines.report(trial.state.info)
                return (
                    isinstance(report, Refusal)
                    and report.code is ResultCode.UPSTREAM_UNREACHABLE
                )
        return False

    def _claim(self, content: ContentMark) -> bool:
        """Tell whether this host tries a request, and remember that."""
        now = self._clock.now()
        if now - self._tried.get(content, float('-inf')) < TRIED_SPAN:
            return False
        if not self.may_try(content):
            return False
        self._tried.pop(content, None)
        self._tried[content] = now
        if len(self._tried) > MOST_TRIED:
            self._tried.pop(next(iter(self._tried)))
        return True


class CrashExchange:
    """Tells other hosts under which requests engines have ended.

    Args:
        mesh: Links to other hosts.
        book: What is known of such requests.
        clock: The host's clock.
    """

    def __init__(self, mesh: Mesh, book: CrashBook, clock: Clock) -> None:
        self._mesh = mesh
        self._book = book
        self._clock = clock
        mesh.handle(CrashDigest, self._hear)

    async def run(self) -> None:
        """Tell while there is something to tell, until cancelled.

        What was heard is told on, so it reaches hosts without a link.
        """
        while True:
            await self._clock.sleep(PERIOD)
            if self._book.has_news:
                self._mesh.tell_all(CrashDigest(self._book.telling()))

    async def _hear(self, host: HostId, digest: CrashDigest) -> None:
        """Take in what another host tells."""
        self._book.told(digest.crashes)


def content_of(request: ModelRequest) -> ContentMark:
    """Return the mark of what a request contains, whatever its id."""
    return mark_content(
        request.workspace,
        request.task.encode(),
        msgspec.json.encode(request.body, order='sorted'),
    )


def _always(content: ContentMark) -> bool:
    """Let a host alone try any request."""
    return True
