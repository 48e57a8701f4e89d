"""Tests of a relay host between callers, workers and the platform's store."""

import asyncio
import unittest
from dataclasses import replace

from aiohttp import ClientError, ClientPayloadError
from fakes.opaque_worker import (
    EVENTS,
    OpaqueWorker,
    ReceivedRequest,
    Script,
    head,
    plain,
    rejecting,
    signed,
    stream,
)
from fakes.row_store import StoreFault

from tests.relay_case import RelayCase
from tests.relay_rig import HOST, KEY, Rig, configuration, route


def never_answer(seen: ReceivedRequest) -> Script:
    """Never answer."""
    return Script((b'',), gap=3600)


def send_truncated_body(seen: ReceivedRequest) -> Script:
    """Answer with fewer bytes than announced."""
    headers = signed(seen, **{'Content-Length': '10'})
    return Script((head('200 OK', headers) + b'half',), close=True)


def send_stray_answer_first(seen: ReceivedRequest) -> Script:
    """Answer another request first, then this one."""
    length = {'Content-Length': '4'}
    other = {**signed(seen, **length), 'Nutmegroad-Request-Id': 'other'}
    ours = head('200 OK', signed(seen, **length))
    return Script((head('200 OK', other) + b'evil' + ours + b'fine',))


def send_extra_answer(seen: ReceivedRequest) -> Script:
    """Send a second answer after the requested one."""
    ok_head = head('200 OK', signed(seen, **{'Content-Length': '4'}))
    return Script((ok_head + b'fine' + ok_head + b'more',))


class ForwardingTest(RelayCase):
    """Forwarding of requests to a worker, and of answers to the caller."""

    async def test_request_passes_byte_for_byte(self) -> None:
        """The raw target and the body arrive unchanged."""
        status, _, body = await self.rig.ask('/pay/a%2Fb//c?x=%20', body=b'x y')
        self.assertEqual((status, body), (200, b'fine'))
        seen = next(w.requests[0] for w in self.rig.workers if w.requests)
        self.assertEqual(seen.target, '/pay/a%2Fb//c?x=%20')
        self.assertEqual(seen.body, b'x y')

    async def test_headers_are_the_systems_to_set(self) -> None:
        """A caller can't set reserved headers; its key is not forwarded."""
        await self.rig.ask(
            '/pay/1',
            headers={
                'Nutmegroad-Hold': 'stolen',
                'Kv-From': '1.2.3.4:5/x',
                'Nutmegroad-Tenant': 'somebody',
                'Connection': 'keep-alive, X-Mine',
                'X-Mine': 'hop',
                'X-Kept': 'yes',
            },
        )
        seen = next(
            w.requests[0] for w in self.rig.workers if w.requests
        ).headers
        self.assertEqual(seen['nutmegroad-tenant'], 'clerks')
        self.assertEqual(seen['x-kept'], 'yes')
        self.assertIn('nutmegroad-expect-instance', seen)
        self.assertLessEqual(int(seen['nutmegroad-deadline-ms']), 4000)
        for name in ('authorization', 'nutmegroad-hold', 'kv-from', 'x-mine'):
            self.assertNotIn(name, seen)

    async def test_stray_answer_is_dropped(self) -> None:
        """An answer with another request's id is dropped."""
        self.all_workers(send_stray_answer_first)
        _, headers, body = await self.rig.ask('/look/1', 'mine')
        self.assertEqual(body, b'fine')
        self.assertEqual(headers['Nutmegroad-Request-Id'], 'mine')

    async def test_extra_answer_ends_the_connection(self) -> None:
        """A surplus answer is not taken for that of the next request."""
        self.all_workers(send_extra_answer)
        for number in range(4):
            _, headers, body = await self.rig.ask('/pay/1', f'r{number}')
            self.assertEqual(body, b'fine')
            self.assertEqual(headers['Nutmegroad-Request-Id'], f'r{number}')


class FailureTest(RelayCase):
    """Repeats of failed requests."""

    async def test_cut_answer_of_a_repeatable_call_is_asked_again(self) -> None:
        """The caller gets a complete answer from another worker."""
        self.rig.workers[0].default_script = send_truncated_body
        for number in range(6):
            status, _, body = await self.rig.ask('/look/1', f'r{number}')
            self.assertEqual((status, body), (200, b'fine'))

    async def test_call_that_runs_once_is_never_sent_again(self) -> None:
        """Its outcome is unknown, so the status guarantees nothing."""
        self.all_workers(send_truncated_body)
        status, headers, _ = await self.rig.ask('/pay/1', 'p1')
        self.assertEqual(status, 502)
        self.assertNotIn('Retry-After', headers)
        self.assertEqual(self.rig.seen('p1'), 1)

    async def test_rejected_call_goes_elsewhere(self) -> None:
        """A worker's proof of non-execution permits another attempt."""
        self.rig.workers[0].default_script = rejecting()
        for number in range(6):
            status, _, _ = await self.rig.ask('/pay/1', f'p{number}')
            self.assertEqual(status, 200)

    async def test_all_full_is_a_refusal_with_a_time_to_come_back(self) -> None:
        """503 guarantees that the call was not executed, with a retry time."""
        self.all_workers(rejecting())
        status, headers, _ = await self.rig.ask('/pay/1')
        self.assertEqual(status, 503)
        self.assertGreater(float(headers['Retry-After']), 0)

    async def test_no_answer_by_the_routes_time_is_final(self) -> None:
        """The caller is refused at the route's timeout, without a guarantee."""
        self.rig.configure(
            2, routes=[route('pay', 'non_idempotent', timeoutMs=200)]
        )
        self.all_workers(never_answer)
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)
        status, _, _ = await self.rig.ask('/pay/1')
        self.assertEqual(status, 504)

    async def test_given_up_connection_is_not_used_again(self) -> None:
        """The next request does not wait behind an abandoned one."""
        self.rig.configure(
            2, routes=[route('pay', 'non_idempotent', timeoutMs=200)]
        )
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)
        for worker in self.rig.workers:
            worker.next_scripts.append(never_answer)
        statuses = [
            (await self.rig.ask('/pay/1', f'p{number}'))[0]
            for number in range(8)
        ]
        self.assertEqual(statuses.count(504), 2)
        self.assertEqual(statuses.count(200), 6)

    async def test_caller_that_leaves_ends_its_run(self) -> None:
        """The worker's connection is closed if the caller disconnects."""
        self.all_workers(stream(EVENTS * 100, gap=0.01))
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.rig.ask('/draft/1')
        await self.rig.until(
            lambda: sum(worker.aborted for worker in self.rig.workers),
        )


class StreamTest(RelayCase):
    """Event streams."""

    async def test_stream_is_handed_on_whole(self) -> None:
        """All events arrive, in order."""
        self.all_workers(stream())
        _, _, body = await self.rig.ask('/draft/1')
        self.assertEqual(body, b''.join(EVENTS))

    async def test_broken_stream_goes_on_elsewhere(self) -> None:
        """The rest is requested after the last complete event."""
        broken = stream((EVENTS[0], EVENTS[1][:9]), cut=True)
        await self.assert_resumed_elsewhere(broken)

    async def test_stream_that_may_not_go_on_does_not_look_whole(self) -> None:
        """The caller's HTTP library detects the truncation."""
        self.all_workers(stream(EVENTS[:1], cut=True))
        with self.assertRaises((ClientPayloadError, ClientError)):
            await self.rig.ask('/once/1', 'o1')
        self.assertEqual(self.rig.seen('o1'), 1)


class CascadeTest(RelayCase):
    """Escalation to a larger model after an answer of low confidence."""

    async def test_unsure_answer_is_asked_of_the_largest_model(self) -> None:
        """No byte of the discarded answer reaches the caller."""

        def by_model(seen: ReceivedRequest) -> Script:
            """Answer as the named model would."""
            large = seen.headers['nutmegroad-model'] == 'large'
            text = b'id: 1\ndata: large\n\n' if large else b'id: 1\ndata: s\n\n'
            return stream((text,), confidence=95 if large else 5)(seen)

        self.all_workers(by_model)
        _, headers, body = await self.rig.ask(
            '/sized/1',
            headers={'Nutmegroad-Model': '*', 'Nutmegroad-Token-Usage': '9,9'},
        )
        self.assertEqual(body, b'id: 1\ndata: large\n\n')
        self.assertEqual(headers['Nutmegroad-Confidence'], '95')

    async def test_sure_answer_of_the_small_model_stands(self) -> None:
        """The request is sent only once."""
        self.all_workers(stream(confidence=90))
        await self.rig.ask(
            '/sized/1',
            'k1',
            headers={'Nutmegroad-Model': '*', 'Nutmegroad-Token-Usage': '9,9'},
        )
        self.assertEqual(self.rig.seen('k1'), 1)


class RefusalTest(RelayCase):
    """Refused requests, and changes of the configuration."""

    async def test_bad_requests_have_their_status(self) -> None:
        """Unknown routes, unknown keys, and bodies that are too large."""
        cases = (
            ('/nowhere/1', KEY, b'', 404),
            ('/pay/1', 'stolen', b'', 401),
            ('/pay/1', KEY, b'x' * 1001, 413),
            ('/open/1', '', b'', 200),
        )
        for path, key, body, expected in cases:
            with self.subTest(path=path, key=key):
                status, _, _ = await self.rig.ask(path, key=key, body=body)
                self.assertEqual(status, expected)

    async def test_headers_are_bounded(self) -> None:
        """431, and no worker receives the request."""
        limits = {'maxHeaderBytes': 400}
        self.rig.configure(2, limits=limits)
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)
        status, _, _ = await self.rig.ask(
            '/pay/1',
            'big',
            headers={'X-Large': 'x' * 400},
        )
        self.assertEqual(status, 431)
        self.assertEqual(self.rig.seen('big'), 0)

    async def test_trial_keeps_within_the_operators_bound(self) -> None:
        """The canary fraction follows the limit on exposure.

        ``ExposureTest`` checks the total against the limit. A fraction of 0.8
        of the limit through the whole duration, of which the canary stage is
        two thirds, gave too few answers for a significant result.
        """
        self.assertAlmostEqual(self.rig.host.canary_fraction, 0.165)
        settings = replace(self.rig.settings, exposure=0.05)
        self.rig.host.reload(settings)
        self.assertAlmostEqual(self.rig.host.canary_fraction, 0.055)

    async def test_settings_can_change(self) -> None:
        """A reload can end the validity of keys at once."""
        settings = replace(self.rig.settings, key_validity=0)
        self.rig.host.reload(settings)
        status, _, _ = await self.rig.ask('/pay/1')
        self.assertEqual(status, 503)

    async def test_key_that_was_taken_away_is_refused(self) -> None:
        """A newer configuration is in force as soon as it is received."""
        self.rig.configure(2, tenants=[{'name': 'clerks', 'apiKeys': []}])
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)
        status, _, _ = await self.rig.ask('/pay/1')
        self.assertEqual(status, 401)

    async def test_older_configuration_is_not_taken(self) -> None:
        """A host never returns to an older configuration."""
        self.rig.configure(3)
        await self.rig.until(lambda: self.rig.host.configuration_version == 3)
        self.rig.configure(2, tenants=[])
        self.rig.configure(4)
        await self.rig.until(lambda: self.rig.host.configuration_version == 4)
        status, _, _ = await self.rig.ask('/pay/1')
        self.assertEqual(status, 200)

    async def test_bad_configuration_is_kept_out(self) -> None:
        """The last valid configuration stays in force."""
        self.rig.store.put('op', 'config', b'{"version": "x"}')
        self.rig.configure(5)
        await self.rig.until(lambda: self.rig.host.configuration_version == 5)
        status, _, _ = await self.rig.ask('/pay/1')
        self.assertEqual(status, 200)


class StartTest(unittest.IsolatedAsyncioTestCase):
    """A host that has received no configuration, or loses its store."""

    async def test_host_without_configuration_promises_nothing_ran(
        self,
    ) -> None:
        """It answers 503, never 401 or 404, and is not ready."""
        rig = await self.enterAsyncContext(Rig())
        rig.store.fault = StoreFault.BUSY
        await rig.host.start()
        status, headers, _ = await rig.ask('/pay/1')
        self.assertEqual(status, 503)
        self.assertIn('Retry-After', headers)
        self.assertFalse(rig.host.ready)

    async def test_keys_expire_without_the_store(self) -> None:
        """Requests that need no key are still served."""
        rig = await self.enterAsyncContext(Rig(key_validity=0.4))
        await rig.start()
        rig.store.fault = StoreFault.BUSY
        await rig.until(lambda: not rig.host.ready)
        await rig.until(lambda: not rig.host.keys_valid)
        status, headers, _ = await rig.ask('/pay/1')
        self.assertEqual(status, 503)
        self.assertEqual(headers['Connection'], 'close')
        status, _, _ = await rig.ask('/open/1', key='')
        self.assertEqual(status, 200)


class StopTest(RelayCase):
    """A graceful stop."""

    async def test_open_stream_ends_whole_and_its_connection_closes(
        self,
    ) -> None:
        """Open requests are completed; the host is no longer ready."""
        events = tuple(
            f'id: {number}\ndata: x\n\n'.encode() for number in range(1, 30)
        )
        self.all_workers(stream(events, gap=0.01))
        answer = asyncio.create_task(self.rig.ask('/draft/1', 'd1'))
        await self.rig.until(lambda: self.rig.seen('d1'))
        stop = asyncio.create_task(self.rig.host.stop())
        _, _, body = await answer
        self.assertEqual(body, b''.join(events))
        self.assertFalse(self.rig.host.ready)
        await stop

    async def test_kept_connections_are_closed(self) -> None:
        """A request on an idle connection could arrive too late."""
        self.all_workers(stream(gap=0.05))
        address = self.rig.settings.callers
        idle, _ = await asyncio.open_connection(address.ip, address.port)
        busy, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(
            f'POST /draft/1 HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            'Nutmegroad-Request-Id: k1\r\nContent-Length: 0\r\n\r\n'.encode(),
        )
        answer = await busy.readuntil(b'\r\n\r\n')
        self.assertIn(b'200 OK', answer)
        await self.rig.host.stop()
        self.assertIn(EVENTS[-1], await busy.read())
        self.assertEqual(await idle.read(), b'')
        writer.close()


class ConfigurationShapeTest(unittest.TestCase):
    """The rig writes documents in the platform's format."""

    def test_host_is_the_routes(self) -> None:
        """All routes belong to the host name that callers use."""
        hosts = {each['host'] for each in configuration()['routes']}
        self.assertEqual(hosts, {HOST})
        self.assertIsInstance(OpaqueWorker(), OpaqueWorker)
        self.assertTrue(callable(plain()))
