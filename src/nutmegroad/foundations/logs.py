"""Logging through ``absl.logging``, with a fixed prefix per part.

Usage::

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

#: The request that the current task serves, if any.
_REQUEST: ContextVar[RequestId | None] = ContextVar('request', default=None)

_TEXT_FORMAT: Final = '%(asctime)s %(levelname)s %(message)s'

#: Exceptions that the encoder raises for a value that it can't write.
_ENCODER_ERRORS: Final = (
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)

#: Maximum characters of a value that can't be written as it is.
MAX_PRINTED: Final = 200

#: Attribute of a log record that holds its context.
_CONTEXT: Final = 'nutmegroad_context'


@dataclass(frozen=True, slots=True)
class _Context:
    """The part, request and decision that a log record belongs to."""

    part: str = ''
    request: str = ''
    event: str = ''
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _DecisionMessage:
    """The text of a decision, formatted only when it is needed."""

    part: str
    event: str
    fields: Mapping[str, object]

    def __str__(self) -> str:
        """Return the prefix, the event and the fields."""
        fields = ' '.join(
            f'{name}={content}' for name, content in self.fields.items()
        )
        return f'{self.part}: {self.event} {fields}'.rstrip()


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
    """Format of the log lines."""

    TEXT = 'text'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class PartLogger:
    """The logger of one part of the program.

    Attributes:
        part: Name of the part; the prefix of its lines.
    """

    part: str

    def info(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
    ) -> None:
        """Log an event, with the request that it concerns."""
        self._log(standard_logging.INFO, message, args, request)

    def warning(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
    ) -> None:
        """Log a problem that was handled."""
        self._log(standard_logging.WARNING, message, args, request)

    def error(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
    ) -> None:
        """Log a problem that needs an operator's attention."""
        self._log(standard_logging.ERROR, message, args, request)

    def exception(
        self,
        message: str,
        *args: object,
        request: RequestId | None = None,
        cause: BaseException | None = None,
    ) -> None:
        """Log an unexpected failure with its traceback.

        Args:
            message: What failed, as a %-format.
            args: Arguments of the format.
            request: The request that it concerns.
            cause: The exception; None for the one being handled.
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
        """Log a decision, with its inputs and outcome.

        Args:
            event: What was decided; lines are counted by it.
            request: The request that it concerns.
            fields: Inputs and outcome; each becomes a field of the line.
        """
        if request is None:
            request = _REQUEST.get()
        context = _Context(self.part, request or '', event, fields)
        logging.get_absl_logger().log(
            standard_logging.INFO,
            _DecisionMessage(self.part, event, fields),
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
        """Log a line; the prefix is an argument since it may contain ``%``."""
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
    """Formats each log record as one JSON object."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        context: _Context = getattr(record, _CONTEXT, _Context())
        if context.event:
            return format_decision(
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
        try:
            return msgspec.json.encode(line).decode()
        except ValueError:
            # The message holds text that is not valid Unicode.
            line.message = ascii(line.message)
            line.exception = ascii(line.exception)
            return msgspec.json.encode(line).decode()

    def _exception(self, record: standard_logging.LogRecord) -> str:
        """Return the traceback of a record, or an empty text."""
        return self.formatException(record.exc_info) if record.exc_info else ''


@dataclass(frozen=True, slots=True)
class LogKind:
    """A kind of log line; rate limits apply to each kind.

    Attributes:
        part: The part that logs.
        event: The decision; empty for lines that are no decisions.
    """

    part: str
    event: str


def log_kind(record: standard_logging.LogRecord) -> LogKind:
    """Return the kind of a log record."""
    context: _Context = getattr(record, _CONTEXT, _Context())
    return LogKind(context.part, context.event)


def format_decision(
    part: str,
    event: str,
    fields: Mapping[str, object],
    created: float | None = None,
    request: str = '',
) -> str:
    """Return a decision as one flat JSON object.

    Args:
        part: The part that decided.
        event: What was decided.
        fields: Inputs and outcome; each is a field of the object.
        created: Seconds since 1970; None for the current time.
        request: The request that it concerns; empty for none.
    """
    line = {
        'time': time.time() if created is None else created,
        'part': part,
        'event': event,
        'request': request,
        **fields,
    }
    try:
        return msgspec.json.encode(line, enc_hook=str).decode()
    except _ENCODER_ERRORS:
        # A value from outside, such as a number without a native form or text
        # that is not valid Unicode.
        return msgspec.json.encode(_printable(line)).decode()


def _printable(line: Mapping[str, object]) -> dict[str, str]:
    """Return the fields of a line as ASCII text of bounded length."""
    return {name: _ascii(content) for name, content in line.items()}


def _ascii(content: object) -> str:
    """Return a value as ASCII text of bounded length."""
    try:
        return ascii(content)[:MAX_PRINTED]
    except (ValueError, RecursionError):
        # Integers of thousands of digits are not converted to text.
        return f'unprintable {type(content).__name__}'


@contextmanager
def request_context(request: RequestId) -> Iterator[None]:
    """Add a request's id to every line that the block logs."""
    token = _REQUEST.set(request)
    try:
        yield
    finally:
        _REQUEST.reset(token)


def current_request() -> RequestId | None:
    """Return the request that the current task serves, if any."""
    return _REQUEST.get()


def part_logger(part: str) -> PartLogger:
    """Return the logger of a part."""
    return PartLogger(part)


def configure_logging(log_format: LogFormat, stream: TextIO) -> None:
    """Send all logs of ``absl.logging`` to a stream.

    Args:
        log_format: Text or JSON lines.
        stream: Destination, such as ``sys.stderr``.
    """
    formatter = standard_logging.Formatter(_TEXT_FORMAT)
    if log_format is LogFormat.JSON:
        formatter = JsonFormatter()
    # absl's own handler writes only after absl has parsed its flags. Here
    # argparse parses them, so absl's logger passes its records to this
    # handler.
    install_handler(standard_logging.StreamHandler(stream), formatter)


def install_handler(
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
