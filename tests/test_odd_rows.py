"""Rows that another program has left in the tables that hosts follow.

Such a row may say anything. It must not keep a host from the other rows: a host
that no longer follows the list of upstreams goes on sending requests to those
that are leaving.
"""

import asyncio
import json
import unittest
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from nutmegroad.foundations.types import HostId, ServiceName, UpstreamId
from tests.relay_rig import Rig, configuration

SERVICE: Final = ServiceName('desk')

#: Seconds after which a host that follows nothing any more fails a test.
PATIENCE: Final = 30

#: Deeper than decoders descend, and short enough for a row of the store.
NESTED: Final = '[' * 20_000 + ']' * 20_000
LARGE: Final = '1' + '0' * 400
#: More digits than a text may have that is converted to an integer.
ENDLESS: Final = '9' * 5000

ENTRY: Final = {
    'service': SERVICE,
    'address': '127.0.0.1:9',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    # It may be read and is not used then.
    'state': 'draining',
}
HOST_ROW: Final = {'ip': '127.0.9.9', 'port': 9, 'domain': 'north', 'link': 0}

#: Values that a field may have, as JSON.
FIELD_TEXTS: Final = {
    'nested': NESTED,
    'large integer': LARGE,
    'endless integer': ENDLESS,
    'large exponent': '1e400',
    'large real': '1e300',
    'integer of 64 bits': str(2**64),
    'negative': '-5',
    'empty': '""',
    'lone surrogate': r'"\ud800"',
    'line end': r'"a\r\nb"',
    'null': 'null',
    'object': '{}',
}

ADDRESSES: Final = (
    '127.0.0.1:70000',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    f'127.0.0.1:{ENDLESS}',
    '127.0.0.1:\u0661',
    '127.0.0.1: 80',
    '0.0.0.0:80',
    '224.0.0.1:80',
    '255.255.255.255:80',
    'no address',
    '',
)


def with_field(document: dict[str, Any], name: str, content: str) -> bytes:
    """Return a JSON document in which one field has a given JSON value."""
    others = {key: each for key, each in document.items() if key != name}
    return f'{json.dumps(others)[:-1]},"{name}":{content}}}'.encode()


def odd_documents(document: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    """Yield documents with one odd value, by what is odd."""
    yield 'nothing', b''
    yield 'no JSON', b'\xff\xfe{'
    yield 'nested whole', NESTED.encode()
    for name in (*document, 'unknownField'):
        for title, content in FIELD_TEXTS.items():
            yield f'{name}: {title}', with_field(document, name, content)


def odd_entries() -> Iterator[tuple[str, bytes]]:
    """Yield entries of upstreams that are odd in one field."""
    yield from odd_documents({**ENTRY, 'born': 0, 'coldRemainingMs': 0})
    for address in ADDRESSES:
        yield (
            f'address {address[:20]}',
            with_field(ENTRY, 'address', json.dumps(address)),
        )


def odd_configurations() -> Iterator[tuple[str, bytes]]:
    """Yield configurations that can't be read, by what is odd."""
    newer = configuration(1_000_000)
    yield 'nested', NESTED.encode()
    yield 'nested-field', with_field(newer, 'x', NESTED)
    yield 'large-version', with_field(newer, 'version', LARGE)


class OddRowsTest(unittest.IsolatedAsyncioTestCase):
    """Hosts go on following a table whatever another program writes to it."""

    async def asyncSetUp(self) -> None:
        self.rig = await self.enterAsyncContext(Rig(hosts=2))
        await self.rig.start()
        self.number = 0

    def put_all(
        self, table: str, key: str, documents: Mapping[str, bytes]
    ) -> None:
        """Write documents into rows whose keys tell what is odd."""
        for title, content in documents.items():
            self.rig.store.put(
                table, f'{key}{title}'.replace(' ', '-'), content
            )

    def upstreams(self, host: int) -> set[UpstreamId]:
        """Return the upstreams that a host sends requests to."""
        directory = self.rig.hosts[host]._directory
        return {each.entry.upstream for each in directory.of_service(SERVICE)}

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition; fail if it does not come true."""
        async with asyncio.timeout(PATIENCE):
            await self.rig.until(condition)

    async def until_used(self, upstream: str, *, used: bool) -> None:
        """Wait until both hosts use an upstream, or until none does."""
        await self.until(
            lambda: all(
                (UpstreamId(upstream) in self.upstreams(host)) is used
                for host in range(2)
            )
        )

    async def check_leaving(self) -> None:
        """Let an upstream join, say that it is leaving, and leave."""
        for state, used in (('ready', True), ('draining', False)):
            entry = {**ENTRY, 'address': '127.0.0.1:10', 'state': state}
            self.rig.store.put('servers', 'w-next', json.dumps(entry).encode())
            await self.until_used('w-next', used=used)
        self.rig.store.remove('servers', 'w-next')

    def check_served(self) -> None:
        """Check that no task has ended and both hosts are ready."""
        for host in self.rig.hosts:
            self.assertEqual(host._supervisor.failing, ())
            self.assertTrue(host.ready)

    async def check_host_found(self) -> None:
        """Register one more host, and wait until it is found."""
        self.number += 1
        name = HostId(f'next-{self.number}')
        content = json.dumps({**HOST_ROW, 'domain': 'south'}).encode()
        self.rig.store.put('nutmegroad', f'host/{name}', content)
        await self.until(
            lambda: all(
                name in host._fleet.peers.remote_hosts
                for host in self.rig.hosts
            )
        )

    async def check_hosts_heard(self) -> None:
        """Send requests until each host has heard of the other one anew."""
        for host in self.rig.hosts:
            host._fleet.peers.last_received.clear()
        while not all(
            host._fleet.peers.count_responsive() for host in self.rig.hosts
        ):
            for host in range(2):
                await self.rig.ask('/look/1', host=host)

    async def check_configured(self, version: int) -> None:
        """Write a configuration, and wait until both hosts have it in force."""
        self.rig.configure(version)
        await self.until(
            lambda: all(
                host.configuration_version == version for host in self.rig.hosts
            )
        )

    # Guards against a list of upstreams that stays as it was: one unreadable
    # entry ended the task that follows it, and leaving upstreams got requests.
    async def test_leaving_upstreams_are_left_beside_odd_entries(self) -> None:
        with self.assertLogs('absl'):
            self.put_all('servers', 'w-', dict(odd_entries()))
            await self.check_leaving()
        self.check_served()

    # Guards against requests that fail with 500: an entry names more slots than
    # a floating-point number can express.
    async def test_requests_are_answered_beside_odd_entries(self) -> None:
        with self.assertLogs('absl'):
            self.put_all('servers', 'w-', dict(odd_entries()))
            await self.check_leaving()
        for number in range(20):
            status, _, _ = await self.rig.ask('/look/1', f'r-{number}')
            self.assertEqual(status, 200)

    # Guards against hosts that never become ready: the full list that a host
    # reads when it starts contains the unreadable entry, too.
    async def test_a_host_that_starts_later_becomes_ready(self) -> None:
        with self.assertLogs('absl'):
            for table, key in (
                ('servers', 'w-odd'),
                ('nutmegroad', 'host/odd'),
                ('nutmegroad', 'rollout/desk'),
                ('op', 'rollout/desk'),
            ):
                content = with_field(ENTRY, 'unknownField', NESTED)
                self.rig.store.put(table, key, content)
            async with asyncio.timeout(PATIENCE):
                await self.rig.add_host()
        self.assertTrue(self.rig.hosts[2].ready)

    # Guards against an entry that becomes unreadable and stays in use as it
    # was: it may have said that its upstream is leaving.
    async def test_an_unreadable_entry_takes_its_upstream_out_of_use(
        self,
    ) -> None:
        with self.assertLogs('absl'):
            for content in (NESTED.encode(), with_field(ENTRY, 'x', NESTED)):
                self.rig.register(0)
                await self.until_used('w-0', used=True)
                self.rig.store.put('servers', 'w-0', content)
                await self.until_used('w-0', used=False)

    # Guards against a host that no longer hears of other hosts, or no longer
    # sends to them: one odd registration ended the task of either.
    async def test_hosts_hear_each_other_beside_odd_registrations(
        self,
    ) -> None:
        documents = dict(odd_documents(HOST_ROW))
        for ip in ('no ip', '0.0.0.0', '224.0.0.1', '\u0661.1.1.1'):
            documents[f'ip {ip}'] = with_field(HOST_ROW, 'ip', json.dumps(ip))
        with self.assertLogs('absl'):
            self.put_all('nutmegroad', 'host/', documents)
            await self.check_host_found()
        await self.check_hosts_heard()
        self.check_served()

    # Guards against a roll-out, evidence or crashes that no host learns of any
    # more, since one row of the fleet's table could not be applied.
    async def test_the_fleet_table_is_followed_beside_odd_rows(self) -> None:
        rows = {
            'rollout/desk': {'order': 1, 'stage': 'canary', 'started': 0},
            'evidence/desk/odd': {'order': 1, 'run': 1, 'kinds': {}},
            'crashes/ends': {'ends': [], 'answers': [], 'progress': []},
            'crashes/trials': {'trials': []},
        }
        with self.assertLogs('absl'):
            for key, document in rows.items():
                self.put_all('nutmegroad', key, dict(odd_documents(document)))
                # The store keeps the last state of a row only.
                content = with_field(document, 'unknownField', NESTED)
                self.rig.store.put('nutmegroad', key, content)
            await self.check_host_found()
        await self.check_hosts_heard()
        self.check_served()

    # Guards against a configuration that is never replaced: one unreadable row
    # of the operator's table ended the task that follows it.
    async def test_the_operator_is_followed_beside_odd_rows(self) -> None:
        rollout = {'service': SERVICE, 'to': 'v2', 'durationS': 10}
        with self.assertLogs('absl'):
            for key in ('rollout/', 'evacuate/', 'unknown'):
                self.put_all('op', key, dict(odd_documents(rollout)))
            await self.check_configured(2)
        self.check_served()


class OddConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """A configuration that can't be read is not taken for the one before."""

    # Guards against keys that stay valid although a newer configuration, which
    # may have revoked them, can't be read.
    async def test_it_confirms_nothing_until_one_can_be_read(self) -> None:
        async with asyncio.timeout(PATIENCE), Rig(2, key_validity=2) as rig:
            await rig.start()
            version = 1
            for title, content in odd_configurations():
                with self.subTest(configuration=title), self.assertLogs('absl'):
                    rig.store.put('op', 'config', content)
                    await rig.until(
                        lambda: not any(host.keys_valid for host in rig.hosts)
                    )
                    status, headers, _ = await rig.ask('/look/1', title)
                    self.assertEqual(status, 503)
                    self.assertIn('Retry-After', headers)
                    self.assertEqual(rig.seen(title), 0)
                    version += 1
                    rig.configure(version)
                    await rig.until(
                        lambda: all(host.ready for host in rig.hosts)
                    )
                    status, _, _ = await rig.ask('/look/1', f'{title}-again')
                    self.assertEqual(status, 200)
