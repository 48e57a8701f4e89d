"""The model of repeats holds, and needs each part of the rule."""

from typing import Final

from models.repeats import (
    RATIO_ONLY,
    WITH_CONSTANT,
    check,
    kept_requests,
    largest_window,
    latest_window,
    undivided_share,
)

from tests.model_case import ModelCase

_PROPERTY: Final = 'within_limit'


class RepeatModelTest(ModelCase):
    """Searches the model exhaustively."""

    # Guards against hosts that permit more repeats together than the operator
    # allows, whichever hosts callers use and whenever hosts are killed.
    def test_no_schedule_exceeds_the_limit(self) -> None:
        for title, bounds in (
            ('requests', RATIO_ONLY),
            ('constant', WITH_CONSTANT),
        ):
            with self.subTest(title):
                report = check(bounds)
                self.check_holds(f'repeats, {title}', report, (_PROPERTY,))

    def test_each_part_of_the_rule_is_needed(self) -> None:
        reports = {
            'largest window': check(RATIO_ONLY, rule=largest_window),
            'latest window': check(RATIO_ONLY, rule=latest_window),
            'requests kept': check(RATIO_ONLY, restart=kept_requests),
            'undivided share': check(WITH_CONSTANT, rule=undivided_share),
        }
        for title, report in reports.items():
            with self.subTest(title):
                self.check_breaks(f'repeats, {title}', report, _PROPERTY)
