"""Failure domains from which nothing is heard any more.

Where a domain is cut off, each host would find that out for each upstream by
itself, and lose a request and seconds for each. But whatever comes from a
domain, datagrams of its hosts or answers of its upstreams, shows that it is
there; the hosts of one domain tell each other how long ago that was. Where
much was heard and then nothing, the domain is likely cut off.

It is a suspicion and no more: other upstreams are preferred, and what waits
for an answer from there goes on elsewhere if it may.
"""

from collections.abc import Mapping
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import DomainId

_LOG: Final = part_logger('domains')

#: Seconds of silence before a domain is suspected: what one lost round of
#: telling and a slow link delay.
LEAST: Final = 0.8

#: Times the usual interval between two signs: by chance alone so long a
#: silence comes once in three thousand intervals.
TIMES: Final = 8.0

#: Weight of the newest interval in the usual one: about the last ten decide.
RECENT: Final = 0.1

#: Longest interval that is averaged, in seconds: a silence is no interval.
LONGEST: Final = 1.0

#: Failure domains that are remembered at most: seven times those of the letter;
#: names come from other hosts.
MOST: Final = 64

#: Ages are told in milliseconds, and none above these.
_MILLISECONDS: Final = 1000
_OLDEST: Final = 5.0

#: Milliseconds since the last sign, by domain.
ToldAges = dict[DomainId, int]


class DomainSilence:
    """Remembers when each failure domain was heard last.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[DomainId, float] = {}
        self._intervals: dict[DomainId, float] = {}
        self._suspected: set[DomainId] = set()

    def heard(self, domain: DomainId) -> None:
        """Note a sign from a domain just now."""
        self._sign(domain, self._clock.now())

    def told(self, ages: Mapping[DomainId, int]) -> None:
        """Take in when another host has heard domains."""
        now = self._clock.now()
        for domain, age in ages.items():
            self._sign(domain, now - max(0, age) / _MILLISECONDS)

    def ages(self) -> ToldAges:
        """Return what is told to other hosts."""
        now = self._clock.now()
        return {
            domain: int((now - moment) * _MILLISECONDS)
            for domain, moment in self._heard.items()
            if now - moment < _OLDEST
        }

    def suspected(self, domain: DomainId) -> bool:
        """Tell whether a domain is likely cut off from here."""
        heard = self._heard.get(domain)
        if heard is None:
            return False
        usual = self._intervals.get(domain, LONGEST)
        silent = self._clock.now() - heard
        if silent <= max(LEAST, TIMES * usual):
            return False
        if domain not in self._suspected:
            self._suspected.add(domain)
            _LOG.decision(
                'domain fell silent',
                domain=domain,
                seconds=round(silent, 3),
                usual=round(usual, 3),
            )
        return True

    def _sign(self, domain: DomainId, moment: float) -> None:
        """Take in a sign of a moment, unless a later one is known."""
        known = self._heard.get(domain)
        if known is None:
            if len(self._heard) < MOST:
                self._heard[domain] = moment
            return
        if moment <= known:
            return
        if domain in self._suspected:
            self._suspected.discard(domain)
            _LOG.decision(
                'domain heard again',
                domain=domain,
                seconds=round(moment - known, 3),
            )
        usual = self._intervals.get(domain, LONGEST)
        interval = min(LONGEST, moment - known)
        self._intervals[domain] = usual + RECENT * (interval - usual)
        self._heard[domain] = moment
