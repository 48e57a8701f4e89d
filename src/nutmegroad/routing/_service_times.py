"""Estimates of how long requests run, learned by this host."""

from typing import Final

from nutmegroad.contracts.decisions import AttemptEnd
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.types import TaskName
from nutmegroad.routing._estimates import LinearFit, RunningMedian

#: Initial estimate of the seconds per output token. Too low rather than too
#: high, because a high estimate would refuse requests without evidence.
_INITIAL_SECONDS_PER_TOKEN: Final = 0.01


class ServiceTimes:
    """Estimates the seconds that a request will run."""

    def __init__(self) -> None:
        self._per_token = RunningMedian(_INITIAL_SECONDS_PER_TOKEN)
        self._first: dict[TaskName, LinearFit] = {}
        self._output: dict[TaskName, LinearFit] = {}

    def add(self, end: AttemptEnd) -> None:
        """Learn from a complete answer."""
        if end.first_token is None or not end.output_tokens:
            return
        task = end.start.task
        rest = end.seconds - end.first_token
        if end.output_tokens > 1:
            self._per_token.add(rest / (end.output_tokens - 1))
        first = self._first.setdefault(task, LinearFit(end.first_token))
        first.add(0, end.first_token)
        output = self._output.setdefault(task, LinearFit(end.output_tokens))
        output.add(0, end.output_tokens)

    def expected(self, request: ModelRequest) -> float:
        """Return the seconds that a request is expected to run."""
        first = self._first.get(request.task)
        output = self._output.get(request.task)
        tokens: float = request.output_tokens
        if output is not None:
            # The caller's maximum says little about the length of the answer;
            # the lengths of the task's previous answers say more.
            tokens = min(tokens, output.at(0))
        rest = tokens * self._per_token.level
        if first is None:
            return rest
        return rest + first.at(0)
