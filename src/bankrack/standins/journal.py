"""Persistent record of the actual runs of a stand-in."""

import time


class Journal:
    """Appends a line with wall-clock time, tag and idempotency key for each run.

    :param path: file to append to; nothing is recorded if empty.
    """

    def __init__(self, path: str) -> None:
        self._path = path

    def record(self, tag: str, key: str) -> None:
        """Append the line of one run."""
        if not self._path:
            return
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(f"{time.time():.3f}\t{tag}\t{key}\n")
