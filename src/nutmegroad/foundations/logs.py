"""Logs: short lines through ``absl.logging``, a fixed prefix per part.

A part says::

    _LOG = part_logger('dispatch')
    _LOG.info('answered by %s', version, request=request)
"""

import logging as standard_logging
import sys
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final, TextIO

import msgspec
from absl import logging

from nutmegroad.foundations.types import RequestId

#: The request that the running task is about, if it is about one.
_REQUEST: ContextVar[RequestId | None] = ContextVar('request', default=None)

_TEXT: Final = '%(asctime)s %(levelname)s %(message)s'

#: Name under which a log record carries its context.
_CONTEXT: Final = 'nutmegroad_context'


@dataclass(frozen=True, slots=True)
class _Context:
    """What a log line concerns."""

    part: str = ''
    request: str = ''
    event: str = ''
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Spelled:
    """A decision as text, spelled out only if somebody asks."""

    part: str
    event: str
    fields: Mapping[str, object]

    def __str__(self) -> str:
        """Return the prefix, the event and the fields."""
        named = ' '.join(
            f'{name}={content}' for name, content in self.fields.items()
        )
        return f'{self.part}: {self.event} {named}'.rstrip()


class _Line(msgspec.Struct, omit_defaults=True):
    """A log line as JSON; ``time`` is in seconds since 1970."""

    time: float
    level: str
    message: str
    part: str = ''
    request: str = ''
    exception: str = ''


@unique
class LogFormat(Enum):
    """How a log line is written."""

    TEXT = 'text'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class PartLogger:
    """Logs for one part of the program.

    Attributes:
        part: The part's name, the prefix of its lines.
    """

    part: str

    def info(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
    ) -> None:
        """Say what happened; give the request that it concerns."""
        self._log(standard_logging.INFO, message, args, request)

    def warning(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
    ) -> None:
        """Say what went wrong and was dealt with."""
        self._log(standard_logging.WARNING, message, args, request)

    def error(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
    ) -> None:
        """Say what went wrong and calls for a person."""
        self._log(standard_logging.ERROR, message, args, request)

    def exception(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
        cause: BaseException | None = None,
    ) -> None:
        """Say what failed that never should, with the traceback.

        Args:
            message: What failed.
            args: What goes into the message.
            request: The request that it concerns.
            cause: The exception; None for the one that is handled now.
        """
        trace = sys.exception() if cause is None else cause
        self._log(standard_logging.ERROR, message, args, request, trace)

    def decision(
        self,
        event: str,
        *,
        request: RequestId | None = None,
        **fields: object,
    ) -> None:
        """Write down a decision, with what decided it.

        Args:
            event: What was decided; the kind of the line.
            request: The request that it concerns.
            fields: Inputs and outcome; each becomes a field of the line.
        """
        if request is None:
            request = _REQUEST.get()
        context = _Context(self.part, request or '', event, fields)
        logging.get_absl_logger().log(
            standard_logging.INFO,
            _Spelled(self.part, event, fields),
            extra={_CONTEXT: context},
        )

    def _log(
        self,
        level: int,
        message: str,
        args: tuple[object, ...],
        request: RequestId | None,
        trace: BaseException | None = None,
    ) -> None:
        """Write a line; the prefix is an argument, as it may hold a ``%``."""
        if request is None:
            request = _REQUEST.get()
        prefix = self.part if request is None else f'{self.part} {request}'
        context = _Context(self.part, request or '')
        logging.get_absl_logger().log(
            level,
            f'%s: {message}',
            prefix,
            *args,
            exc_info=trace,
            extra={_CONTEXT: context},
        )


class JsonFormatter(standard_logging.Formatter):
    """Writes each log line as one JSON object."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line."""
        context: _Context = getattr(record, _CONTEXT, _Context())
        if context.event:
            return decision_line(
                context.part,
                context.event,
                context.fields,
                record.created,
                context.request,
            )
        line = _Line(
            time=record.created,
            level=record.levelname.lower(),
            message=record.getMessage(),
            part=context.part,
            request=context.request,
            exception=self._exception(record),
        )
        return msgspec.json.encode(line).decode()

    def _exception(self, record: standard_logging.LogRecord) -> str:
        """Return the traceback that a line carries, if any."""
        return self.formatException(record.exc_info) if record.exc_info else ''


@dataclass(frozen=True, slots=True)
class LogKind:
    """Lines that count together.

    Attributes:
        part: The part that logs.
        event: What was decided; empty for a sentence.
    """

    part: str
    event: str


def kind_of(record: standard_logging.LogRecord) -> LogKind:
    """Return which kind of line a record is."""
    context: _Context = getattr(record, _CONTEXT, _Context())
    return LogKind(context.part, context.event)


def decision_line(
    part: str,
    event: str,
    fields: Mapping[str, object],
    created: float | None = None,
    request: str = '',
) -> str:
    """Return a decision as one JSON object, its fields beside the rest.

    Args:
        part: The part that decided.
        event: What was decided.
        fields: Inputs and outcome.
        created: Seconds since 1970; None for now.
        request: The request that it concerns, or empty.
    """
    line = {
        'time': time.time() if created is None else created,
        'part': part,
        'event': event,
        'request': request,
        **fields,
    }
    return msgspec.json.encode(line, enc_hook=str).decode()


@contextmanager
def about_request(request: RequestId) -> Iterator[None]:
    """Let each line that is logged in the block carry a request's id."""
    token = _REQUEST.set(request)
    try:
        yield
    finally:
        _REQUEST.reset(token)


def present_request() -> RequestId | None:
    """Return the request that the running task is about, if any."""
    return _REQUEST.get()


def part_logger(part: str) -> PartLogger:
    """Return the logger of one part."""
    return PartLogger(part)


def set_up_logs(log_format: LogFormat, stream: TextIO) -> None:
    """Send all logs of ``absl.logging`` to a stream.

    Args:
        log_format: Text or JSON lines.
        stream: Where to, such as ``sys.stderr``.
    """
    formatter = standard_logging.Formatter(_TEXT)
    if log_format is LogFormat.JSON:
        formatter = JsonFormatter()
    # absl's own handler writes only after absl has read its flags, which
    # argparse reads here; so its logger hands on to a handler of ours.
    use_handler(standard_logging.StreamHandler(stream), formatter)


def use_handler(
    handler: standard_logging.Handler,
    formatter: standard_logging.Formatter,
) -> None:
    """Send all logs of ``absl.logging`` to a handler."""
    handler.setFormatter(formatter)
    standard_logging.basicConfig(
        handlers=[handler],
        level=standard_logging.INFO,
        force=True,
    )
    logging.set_verbosity(logging.INFO)
