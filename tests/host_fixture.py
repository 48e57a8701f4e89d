"""A complete host in the test process, with stand-ins around it."""

import random
from contextlib import AsyncExitStack
from typing import Any, Final

import msgspec
from aiohttp import ClientSession
from experiments.deployment import (
    call_operator_api,
    read_example,
    workspace_key,
)
from fakes.engine import FakeEngine
from fakes.engine_settings import EngineSettings, VersionSettings
from fakes.faults import FaultKind, FaultSpec
from fakes.platform import FakePlatform, PlatformOptions

from nutmegroad.adapters._platform_bodies import ListingBody
from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.settings import Settings
from tests.fast_engines import FAST_SPEED, fast_settings

VERSIONS: Final = ('brief-small@2', 'brief-medium@4')
TOKEN: Final = 'a-bootstrap-token-for-tests'
KEY: Final = workspace_key('head-office')
#: Loopback address with any free port.
ANY_PORT: Final = Address('127.0.0.1', 0)


def two_version_settings(**changes: Any) -> EngineSettings:
    """Return the settings of a fast engine with two versions loaded."""
    versions = VersionSettings(loaded=VERSIONS, loadable=(), load_seconds=0)
    defaults = {'versions': versions, 'speed': FAST_SPEED}
    return fast_settings(**{**defaults, **changes})


class HostFixture:
    """A platform, two engines and one host, opened together.

    Attributes:
        platform: Stand-in for the platform.
        engines: Stand-ins for both engines.
        kernel: Kernel of the host.
        session: HTTP client, for calls to the host.
    """

    def __init__(self, engine_settings: EngineSettings) -> None:
        clock = SystemClock()
        self.platform = FakePlatform(PlatformOptions(lag=0), clock)
        self.engines = [FakeEngine(engine_settings) for _ in range(2)]
        self.kernel: Kernel
        self.session: ClientSession

    async def open(self, stack: AsyncExitStack, **changes: Any) -> None:
        """Start everything and submit the configuration."""
        load_plugins()
        await stack.enter_async_context(self.platform)
        for engine in self.engines:
            await stack.enter_async_context(engine)
        self.platform.hosts.update(
            msgspec.convert(
                {'upstreams': self._upstream_entries()}, ListingBody
            ),
        )
        self.kernel = Kernel(
            self._settings(changes),
            SystemClock(),
            random.Random(1),
        )
        await stack.enter_async_context(self.kernel)
        await self.kernel.start()
        operators = self.kernel.listening['operators']
        body = {'text': read_example('lesen')}
        await call_operator_api(operators, 'configuration', body, TOKEN)
        self.session = await stack.enter_async_context(ClientSession())

    def fault(self, kind: FaultKind, **changes: Any) -> None:
        """Activate a fault of both engines."""
        for engine in self.engines:
            engine.faults.add(FaultSpec(kind, scope='answers', **changes))

    def body(self, tokens: int = 8, **changes: Any) -> dict[str, Any]:
        """Return the body of a model request."""
        defaults = {
            'model': 'checklist-tag',
            'messages': [{'role': 'user', 'content': 'a form'}],
            'nutmegroad_tokens': tokens,
        }
        return {**defaults, **changes}

    def url(self, path: str = 'chat/completions') -> str:
        """Return the URL of a path of the callers' API."""
        return f'http://{self.kernel.listening["callers"]}/v1/{path}'

    def headers(self, session: str = '') -> dict[str, str]:
        """Return the headers of a request, optionally in a session."""
        headers = {'Authorization': f'Bearer {KEY}'}
        if session:
            headers['Nutmegroad-Session'] = session
        return headers

    def _upstream_entries(self) -> list[dict[str, Any]]:
        return [
            {
                'upstream': f'engine-{number}',
                'domain': 'shah-alam',
                'kind': 'engine',
                'ip': engine.address.ip,
                'port': engine.address.port,
                'presence': 'live',
                'service': '',
            }
            for number, engine in enumerate(self.engines)
        ]

    def _settings(self, changes: dict[str, Any]) -> Settings:
        defaults: dict[str, Any] = {
            'host': HostId('h1'),
            'domain': DomainId('shah-alam'),
            'callers': ANY_PORT,
            'operators': ANY_PORT,
            'peers': ANY_PORT,
            'platform': self.platform.address,
            'cluster_key': 'a-cluster-key-for-tests',
            'bootstrap_token': TOKEN,
            'lame_duck': 0.05,
            'drain': 5,
        }
        return Settings(**{**defaults, **changes})
