"""Soaks in which a part of many requests' prompts crashes workers."""

import unittest

from experiments.fleet_soak.plan import Fault

from tests.soak_case import SoakCase

HARMFUL_PART = (
    *('--seed', '2', '--seconds', '2', '--hosts', '3', '--workers', '4'),
    *('--faults', Fault.HARMFUL_PART.value),
)


class HarmfulPartSoakTest(SoakCase):
    """Requests with the part come at all hosts, no two alike."""

    def test_a_part_that_crashes_workers_breaks_no_rule(self) -> None:
        """It is recognized, and the workers come back."""
        status, text = self.run_soak(*HARMFUL_PART)
        self.assertEqual(status, 0, text)

    # Guards the judge: a program that records crashes by whole requests lets
    # one worker after the other crash.
    def test_hosts_that_record_no_parts_are_found(self) -> None:
        """Each request counts by its own content."""
        status, text = self.run_patched(
            'src/nutmegroad/routes/attributes.py',
            {
                '    return tuple(\n        chain(': (
                    '    if generation is not None:\n'
                    '        return (content_attribute(request.content),)\n'
                    '    return tuple(\n        chain('
                ),
            },
            *HARMFUL_PART,
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'harmful requests: \d+ judged, [1-9]')


if __name__ == '__main__':
    unittest.main()
