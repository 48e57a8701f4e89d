"""Tests that invalid requests are refused with a result code as JSON.

Guards against replies without a code or request id, and against tracebacks
in replies.
"""

import asyncio
import json
import unittest
from contextlib import AsyncExitStack
from typing import Any
from unittest.mock import patch

from experiments.deployment import operator_token

from nutmegroad.callers import _http_listener
from nutmegroad.callers.intake import IntakeReader
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.types import Address
from nutmegroad.ingress.connections import ConnectionLimits
from tests.host_fixture import KEY, TOKEN, HostFixture, two_version_settings

CHAT = '/v1/chat/completions'
VALID_BODY = {
    'model': 'checklist-tag',
    'messages': [{'role': 'u', 'content': 'x'}],
}
DEEPLY_NESTED = b'{"model": ' + b'[' * 100_000
OVERSIZED_NUMBER = (
    json.dumps(VALID_BODY)[:-1].encode()
    + b', "max_tokens": 1'
    + b'0' * 5000
    + b'}'
)


async def send_raw(address: Address, sent: bytes) -> tuple[int, bytes, bytes]:
    """Send bytes; return the status, the head and the body of the reply."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    try:
        writer.write(sent)
        async with asyncio.timeout(20):
            head = await reader.readuntil(b'\r\n\r\n')
            length = head.lower().partition(b'content-length: ')[2]
            size = int(length.partition(b'\r')[0])
            return int(head.split()[1]), head, await reader.readexactly(size)
    finally:
        writer.close()


def post(
    path: str, body: bytes, secret: str = KEY, extra_header: str = ''
) -> bytes:
    """Return the bytes of a POST request."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: h',
        f'Authorization: Bearer {secret}',
        f'Content-Length: {len(body)}',
        *filter(None, (extra_header,)),
    )
    return '\r\n'.join((*lines, '', '')).encode() + body


class InvalidRequestTest(unittest.IsolatedAsyncioTestCase):
    """Invalid requests to the listeners of callers and operators."""

    async def asyncSetUp(self) -> None:
        self.host = HostFixture(two_version_settings())
        stack = await self.enterAsyncContext(AsyncExitStack())
        await self.host.open(stack, max_body=200_000, body_timeout=0.3)
        self.listening = self.host.kernel.listening

    async def assert_refused(
        self, listener: str, sent: bytes, name: str
    ) -> Any:
        """Send bytes and check the refusal; return the head of the reply.

        Args:
            listener: Name of the listener to send to.
            sent: The bytes.
            name: Name of the expected result code.
        """
        address = self.listening[listener]
        status, head, body = await send_raw(address, sent)
        error = json.loads(body)['error']
        self.assertEqual(error['name'], name, (status, body))
        self.assertIn(b'Nutmegroad-Request:', head)
        self.assertNotIn(b'Traceback', body)
        return head

    async def test_invalid_caller_requests_get_result_codes(self) -> None:
        unknown = json.dumps({**VALID_BODY, 'voice': 'alto'}).encode()
        chunked = b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
        chunked += f'Authorization: Bearer {KEY}\r\n'.encode()
        chunked += b'Transfer-Encoding: chunked\r\n\r\nnot-a-size\r\n\r\n'
        slow = post(CHAT, b'x' * 10)[:-5]
        not_gzip = post(CHAT, b'no gzip', KEY, 'Content-Encoding: gzip')
        cases = (
            (post(CHAT, b'{"model"'), 'BODY_MALFORMED'),
            (post(CHAT, b'\xff\xfe{}'), 'BODY_MALFORMED'),
            (post(CHAT, DEEPLY_NESTED), 'FIELD_INVALID'),
            (post(CHAT, OVERSIZED_NUMBER), 'FIELD_INVALID'),
            (post(CHAT, unknown), 'FIELD_INVALID'),
            (post(CHAT, b'[]'), 'FIELD_INVALID'),
            (post(CHAT, b'x' * 200_001), 'BODY_TOO_LARGE'),
            (slow, 'BODY_TOO_SLOW'),
            (not_gzip, 'BODY_MALFORMED'),
            (chunked, 'BODY_MALFORMED'),
            (post(CHAT, b'{}', 'wrong'), 'UNAUTHENTICATED'),
            (post('/v1/nothing', b''), 'ROUTE_UNKNOWN'),
            (b'PUT /v1/models HTTP/1.1\r\nHost: h\r\n\r\n', 'ROUTE_UNKNOWN'),
            (b'\x16\x03\x01\x02\x00 hello\r\n\r\n', 'BODY_MALFORMED'),
            (post(f'/{"x" * 9000}', b''), 'FIELD_INVALID'),
            (post(CHAT, b'', 'y' * 9000), 'FIELD_INVALID'),
            (post(CHAT, b'{}', KEY, 'Expect: a-pony'), 'FIELD_INVALID'),
        )
        for sent, name in cases:
            with self.subTest(name=name, sent=sent[-60:]):
                await self.assert_refused('callers', sent, name)
        shown = self.host.kernel.need(Metrics).render().decode()
        for name in ('UNAUTHENTICATED', 'ROUTE_UNKNOWN', 'BODY_TOO_SLOW'):
            self.assertIn(f'refusals_total{{code="{name}"}}', shown)

    async def test_invalid_operator_requests_get_result_codes(self) -> None:
        token = operator_token('farah')
        reader = operator_token('night-desk')
        preset = '/operators/preset'
        cases = (
            (post(preset, b'{"preset"', token), 'OPERATOR_REQUEST_INVALID'),
            (post(preset, b'{"x": 1}', token), 'OPERATOR_REQUEST_INVALID'),
            (post(preset, DEEPLY_NESTED, token), 'OPERATOR_REQUEST_INVALID'),
            (post(preset, b'{}', 'wrong'), 'OPERATOR_UNAUTHENTICATED'),
            (post(preset, b'{}', TOKEN), 'OPERATOR_UNAUTHENTICATED'),
            (post(preset, b'{}', reader), 'OPERATOR_NOT_PERMITTED'),
            (post(preset, b'x' * 10, token)[:-5], 'BODY_TOO_SLOW'),
            (post(preset, b'x' * 1_100_000, token), 'BODY_TOO_LARGE'),
            (post('/operators/x', b'', token), 'ROUTE_UNKNOWN'),
            (post('/operators/status', b'', token), 'ROUTE_UNKNOWN'),
        )
        for sent, name in cases:
            with self.subTest(name=name, sent=sent[-60:]):
                await self.assert_refused('operators', sent, name)
        shown = self.host.kernel.need(Metrics).render().decode()
        name = 'nutmegroad_operator_refusals_total'
        self.assertIn(f'{name}{{code="OPERATOR_UNAUTHENTICATED"}} 2.0', shown)

    async def test_internal_error_is_logged_under_the_request_id(
        self,
    ) -> None:
        def fail(*args: object) -> None:
            raise ZeroDivisionError

        with (
            patch.object(IntakeReader, 'read', fail),
            self.assertLogs('absl', 'ERROR') as logged,
        ):
            head = await self.assert_refused(
                'callers', post(CHAT, b'{}'), 'INTERNAL'
            )
        request = head.partition(b'Nutmegroad-Request: ')[2].split(b'\r')[0]
        self.assertIn(f'callers {request.decode()}: ', logged.output[0])

    async def test_slow_headers_are_refused(self) -> None:
        """The connection ends; the request has not run."""
        limits = ConnectionLimits(header_timeout=0.05)
        with patch.object(_http_listener, 'LIMITS', limits):
            address = self.listening['callers']
            opened = await asyncio.open_connection(address.ip, address.port)
            opened[1].write(b'POST /v1/chat')
            async with asyncio.timeout(20):
                refusal = await opened[0].read()
            opened[1].close()
        self.assertTrue(refusal.startswith(b'HTTP/1.1 408 '), refusal)
        self.assertIn(b'"HEADERS_TOO_SLOW"', refusal)
        self.assertIn(b'"not_run":true', refusal)
