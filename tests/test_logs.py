"""Tests of the bounded log."""

import logging
import os

from bankrack.logs import BoundedHandler
from bankrack.logs import MAX_PENDING_BYTES
from tests.base import TestCase


class BoundedLogs(TestCase):
    def test_lines_that_were_dropped_are_counted_in_a_line_with_time_and_level(self):
        """A filter by level must not hide that lines are missing."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        handler = BoundedHandler(writing)
        handler.setFormatter(logging.Formatter("level=%(levelname)s %(message)s"))
        record = logging.makeLogRecord({"msg": "x" * 1000, "levelname": "INFO"})
        while not handler.dropped:
            handler.emit(record)
        os.set_blocking(reading, False)
        while len(handler._pending) > MAX_PENDING_BYTES // 2:
            os.read(reading, 1 << 20)
            handler._write()
        handler.emit(record)
        lines = handler._pending.splitlines()
        self.assertIn(b"level=WARNING event=log_lines_dropped count=1", lines)

    def test_lines_that_were_dropped_last_are_not_counted_anywhere(self):
        """Guards against a log that seems to be whole as no line fits any more."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        handler = BoundedHandler(writing)
        record = logging.makeLogRecord({"msg": "x" * 1000, "levelname": "INFO"})
        while not handler.dropped:
            handler.emit(record)
        content = b""
        os.set_blocking(reading, False)
        while handler._pending:
            content += os.read(reading, 1 << 20)
            handler.finish(within=0.0)
        os.close(writing)
        while part := os.read(reading, 1 << 20):
            content += part
        self.assertIn(b"event=log_lines_dropped count=1", content.splitlines()[-1])
