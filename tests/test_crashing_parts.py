"""A part of a prompt that crashes each upstream that answers a prompt with it.

Fifty-two engines ended in eighty seconds under requests of which no two were
alike: neither body, nor session, nor the other parts of their prompts. Crashes
were recorded by the whole content of a request, so each of them began without a
record, at every host, and had all its attempts.
"""

import asyncio
import itertools
import unittest
from typing import Final

from fakes.crash_scripts import PROMPT_PARTS, crashing_on_part
from fakes.opaque_worker import ScriptFactory, plain, stream

from tests.relay_rig import Rig

BAD: Final = 'bad0'
FIRST: Final = 'first'
#: Crashes by which a fleet may learn of the part, and the requests that may
#: reach an upstream after them.
MAX_CRASHES: Final = 5
MORE: Final = 3
#: Requests with the part in each test, at all hosts in turn.
BAD_REQUESTS: Final = 12
HOSTS: Final = 3
WORKERS: Final = 6

OK: Final = 200


class CrashingPartTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts, and workers that are restarted after each crash."""

    async def asyncSetUp(self) -> None:
        """Number requests across all fleets of a test."""
        self.numbers = itertools.count(1)
        self.lost = 0

    async def start(self, answer: ScriptFactory) -> None:
        """Start the hosts with workers that answer all other requests."""
        for worker in self.rig.workers:
            worker.default_script = crashing_on_part(BAD, answer)
        await self.rig.start()

    async def send(self, path: str, *parts: str) -> int:
        """Send a request that is like no other one; return the status."""
        number = next(self.numbers)
        prompt = ','.join(f'{part}:100' for part in (*parts, f'own{number}'))
        status, _, _ = await self.rig.ask(
            path,
            f'r{number}',
            body=f'body {number}'.encode(),
            headers={
                'Nutmegroad-Model': 'small',
                'Nutmegroad-Token-Usage': '500,10',
                PROMPT_PARTS: prompt,
                'Session': f's{number}',
            },
            host=number % HOSTS,
        )
        return status

    async def send_bad(self, path: str, *parts: str) -> None:
        """Send a request with the part, then restart what has crashed."""
        try:
            await self.send(path, *parts)
        except OSError:
            # The upstream ended within the answer, and so does the answer.
            self.lost += 1
        await asyncio.sleep(0.3)
        for number, worker in enumerate(self.rig.workers):
            if worker.crashes and not worker.is_listening:
                await self.rig.restart_worker(number)
        await asyncio.sleep(0.3)

    async def test_requests_with_one_part_stop_crashing_upstreams(
        self,
    ) -> None:
        """Guards against a new record of crashes for each request with it."""
        for path, answer, place in (
            ('/draft/1', stream(), 'middle'),
            ('/draft/1', stream(), 'first'),
            ('/look/1', plain(), 'middle'),
        ):
            with self.subTest(path=path, place=place):
                await self.check(path, answer, place)

    async def check(self, path: str, answer: ScriptFactory, place: str) -> None:
        """Send requests with the part, and sound ones beside them.

        The sound ones have their caller, route and first or second part in
        common with them.
        """
        async with Rig(workers=WORKERS, hosts=HOSTS) as rig:
            self.rig = rig
            await self.start(answer)
            served = []
            for number in range(BAD_REQUESTS):
                other = f'other{number}'
                parts = (FIRST, BAD) if place == 'middle' else (BAD, FIRST)
                await self.send_bad(path, *parts, other)
                sound = (FIRST, f'sound{number}')
                served.append(await self.send(path, *sound))
        self.assertLessEqual(rig.crashes, MAX_CRASHES + MORE)
        # What is blamed beside the part is cleared by its first probe.
        self.assertEqual(set(served[BAD_REQUESTS // 2 :]), {OK})


if __name__ == '__main__':
    unittest.main()
