"""Structured logs: one line of ``key=value`` pairs for each event."""

import logging
import os
import select
import time
import typing as t

STDOUT = 1
STDERR = 2
MAX_PENDING_BYTES = 256 * 1024
"""Maximum size of the buffer for a slow reader."""
_QUOTED_CHARACTERS = frozenset(' "=\n\r\t')


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking on its reader.

    Unwritten lines are buffered up to :data:`MAX_PENDING_BYTES`.  Lines beyond that
    are dropped; their number is logged before the next line that fits.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write, buffer or drop one line."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._write()
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            line = self._dropped_line() + line
            self.dropped = 0
        self._pending += line
        self._write()

    def finish(self, *, within: float) -> None:
        """Write what is buffered, and wait for the reader if it is slow.

        :param within: seconds after which the rest is left unwritten.
        """
        if self.dropped:
            self._pending += self._dropped_line()
            self.dropped = 0
        limit = time.monotonic() + within
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self._write()
        while self._pending and (left := limit - time.monotonic()) > 0.0:
            poll.poll(left * 1000)
            self._write()

    def _dropped_line(self) -> bytes:
        """Format the number of lines dropped like any other event."""
        message = f"event=log_lines_dropped count={self.dropped}"
        fields = {"msg": message, "levelno": logging.WARNING, "levelname": "WARNING"}
        return self.format(logging.makeLogRecord(fields)).encode() + b"\n"

    def _write(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the descriptor, so the lines are discarded.
            written = len(self._pending)
        self._pending = self._pending[written:]


def configure(level: str = "INFO", *, descriptor: int = STDOUT) -> None:
    """Write all events at or above ``level`` to a file descriptor."""
    handler = BoundedHandler(descriptor)
    handler.setFormatter(
        logging.Formatter("time=%(asctime)s level=%(levelname)s %(message)s")
    )
    root = logging.getLogger("bankrack")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def finish(*, within: float) -> None:
    """Write what a slow reader has not taken yet, as the process ends.

    :param within: seconds after which the rest is left unwritten.
    """
    for handler in logging.getLogger("bankrack").handlers:
        if isinstance(handler, BoundedHandler):
            handler.finish(within=within)


def event(
    logger: logging.Logger, name: str, *, level: int = logging.INFO, **fields: t.Any
) -> None:
    """Log one event.

    :param name: name of the event, in snake case.
    :param fields: further key-value pairs; ``None`` values are omitted.
    """
    if not logger.isEnabledFor(level):
        return
    pairs = [f"event={name}"]
    pairs += [f"{k}={_quote(v)}" for k, v in fields.items() if v is not None]
    logger.log(level, "%s", " ".join(pairs))


def _quote(value: t.Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or not _QUOTED_CHARACTERS.isdisjoint(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
        return f'"{escaped}"'
    return text
