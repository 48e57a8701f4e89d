"""Fuzz tests: a host survives datagrams with any content.

The sender may be broken, of another release, or not a host at all.
"""

import math
import unittest
from typing import Any
from unittest.mock import Mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.loads import Load
from nutmegroad.fleet.messages import Message
from nutmegroad.fleet.old_version_sessions import (
    MAX_SESSIONS,
    SessionFingerprint,
)
from nutmegroad.fleet.peer_gossip import PeerGossip, new_shared_state
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    ServiceName,
    UpstreamIncarnation,
)
from nutmegroad.testing.virtual import ManualClock
from tests.relay_samples import KIND

#: Fingerprints in one datagram of a broken host.
BATCH = 5000

#: Values that any field may have, including ones that make no sense.
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
)
ANYTHING = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(
            st.integers() | st.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=20,
)

SIGNED = st.integers(-(2**63), 2**63 - 1)
#: Names of a local, a remote and an unknown host, and of the host itself.
NAMES = st.sampled_from(('near', 'far', 'nobody', 'me', ''))
LOAD = st.tuples(SIGNED, st.floats(), SIGNED)
LOADS = st.dictionaries(NAMES, LOAD, max_size=3)
AGES = st.dictionaries(SIGNED, SIGNED, max_size=5)
ANSWERS = st.tuples(SIGNED, SIGNED, SIGNED, SIGNED)
COUNTS = st.lists(
    st.tuples(
        NAMES,
        NAMES,
        SIGNED,
        SIGNED,
        st.dictionaries(SIGNED, ANSWERS, max_size=3),
    ),
    max_size=3,
)
CRASHES = st.tuples(
    st.lists(st.tuples(SIGNED, SIGNED, SIGNED, SIGNED), max_size=3),
    st.lists(st.tuples(SIGNED, SIGNED), max_size=3),
)
DIGEST = st.tuples(
    st.tuples(AGES, AGES),
    st.tuples(COUNTS, COUNTS),
    CRASHES,
    SIGNED,
)
#: Messages of the right types, with any numbers.
MESSAGES = (
    st.tuples(st.just(1), NAMES, DIGEST)
    | st.tuples(
        st.just(2),
        NAMES,
        DIGEST,
        LOADS,
        st.dictionaries(NAMES, st.lists(SIGNED, max_size=4), max_size=2),
        st.dictionaries(NAMES, SIGNED, max_size=2),
    )
    | st.tuples(st.just(3), NAMES, LOADS)
)


def make_host() -> tuple[PeerGossip, ManualClock]:
    """Return a host that knows one local and seventeen remote hosts."""
    clock = ManualClock(start=100)
    shared_state = new_shared_state(HostId('me'), HostIncarnation(1), clock, 5)
    host = PeerGossip(HostId('me'), row('north'), shared_state, clock)
    host.connection_made(Mock())
    host.add_host(HostId('near'), row('north'))
    for number in range(17):
        name = f'far-{number}' if number else 'far'
        host.add_host(HostId(name), row('south'))
    shared_state.sessions.record(SessionFingerprint(1))
    shared_state.evidence.count(
        ServiceName('near'), 1, KIND, of_new=True, poor=True
    )
    shared_state.ledger.begin(UpstreamIncarnation('near'), Load(1, 0, 9))
    return host, clock


def row(domain: str) -> HostRow:
    """Return the row of a host."""
    return HostRow('127.0.0.1', 1, domain)


def encode(content: Any) -> bytes:
    """Return content encoded as a datagram, or b'' if it can't be encoded."""
    try:
        return msgspec.msgpack.encode(content)
    except (OverflowError, ValueError):
        return b''


class DatagramTest(unittest.TestCase):
    """A host that receives arbitrary datagrams."""

    def receive(self, *datagrams: bytes) -> PeerGossip:
        """Let a host receive datagrams and run for some rounds."""
        host, clock = make_host()
        for datagram in datagrams:
            host.datagram_received(datagram, ('127.0.0.9', 9))
            host.datagram_received(datagram, ('127.0.0.9', 9))
        for number in range(12):
            clock._now += 1
            host._send_round(number)
            self.assertLess(len(host.encode_report()), 65_000)
        host._domains.is_suspected(DomainId('south'))
        return host

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_bytes(self, text: bytes) -> None:
        """Random bytes."""
        self.receive(text)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(ANYTHING)
    def test_other_shapes(self, content: Any) -> None:
        """Another program, or another release."""
        self.receive(encode(content))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(MESSAGES, min_size=1, max_size=4), st.integers(0, 400))
    def test_messages_with_any_numbers(
        self,
        messages: list[Any],
        cut: int,
    ) -> None:
        """A broken host: complete datagrams, and one that is cut short."""
        texts = [encode(message) for message in messages]
        host = self.receive(*texts, texts[0][:cut])
        load = host._ledger.load(UpstreamIncarnation('near'))
        self.assertFalse(math.isnan(load.running))

    def test_invented_fingerprints_are_bounded(self) -> None:
        """Guards: a broken host fills its peers' memory with fingerprints."""
        datagrams = []
        for begin in range(0, MAX_SESSIONS * 2, BATCH):
            ages = dict.fromkeys(range(begin, begin + BATCH), 1)
            datagrams.append(encode([1, 'near', [[ages, {}], [[], []]]]))
        host, _ = make_host()
        for datagram in datagrams:
            host.datagram_received(datagram, ('127.0.0.9', 9))
        sessions = host._digests._sessions
        self.assertLessEqual(len(sessions), MAX_SESSIONS)
        sessions.record(SessionFingerprint(2**31))
        self.assertTrue(sessions.is_live(SessionFingerprint(2**31)))

    def test_messages_are_decoded(self) -> None:
        """Otherwise the tests above would exercise nothing."""
        digest = [[{1: 2}, {}], [[], []], [[], []], 3]
        for message in ([1, 'near', digest], [3, 'near', {'u': [1, 0.5, 2]}]):
            text = msgspec.msgpack.encode(message)
            decoded = msgspec.msgpack.decode(text, type=Message)
            self.assertEqual(decoded.host, 'near')


if __name__ == '__main__':
    unittest.main()
