"""Checks the heads of responses; the parsers of aiohttp let different faults pass."""

import re
import typing as t

FIRST_STATUS = 100
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(rb"[0-9]+")
_STATUS_LINE = re.compile(rb"[\r\n]*HTTP/1\.[0-9] +([0-9]{3})[^\n]*\n")
_HEAD_END = re.compile(rb"\n\r?\n")
MAX_PENDING_BYTES = 64 * 1024
"""Bounds the bytes that are kept until a status line, or an interim head, is whole."""

RawHeaders = t.Sequence[tuple[bytes, bytes]]


def malformation(status: int, reason: str, headers: RawHeaders) -> str:
    """Return what keeps a head from being that of a response; empty if nothing does.

    :param reason: phrase behind the status.
    :param headers: names and values of the fields, as they were received.
    """
    if status == SWITCHING_PROTOCOLS:
        return "another protocol, which nobody asked for"
    if not FIRST_STATUS <= status <= LAST_STATUS:
        return f"status {status:03}"
    if _CONTROL.search(reason.encode("utf-8", "surrogateescape")):
        return "a control character in the reason"
    return _field_malformation(headers)


def _field_malformation(headers: RawHeaders) -> str:
    lengths = set()
    for name, value in headers:
        if not _TOKEN.fullmatch(name):
            return f"the field name {name[:40]!r}"
        if _CONTROL.search(value):
            return f"a control character in {name[:40].decode('latin-1')}"
        if name.lower() == b"content-length":
            lengths.add(value)
    if len(lengths) > 1 or not all(map(_LENGTH.fullmatch, lengths)):
        return "no single length"
    return ""


class FirstFieldCheck:
    """Looks for a blank before the first field of a response.

    The compiled parser skips it, so that the line counts as a field, which may say how
    long the body is; others take the line for a part of the one before.
    """

    __slots__ = ("_is_done", "_pending")

    def __init__(self) -> None:
        self._pending = b""
        self._is_done = False

    def finds_blank(self, data: bytes) -> bool:
        """Whether the bytes received so far have a blank before a first field.

        :param data: the bytes behind those of the call before.
        """
        if self._is_done:
            return False
        self._pending += data
        while line := _STATUS_LINE.match(self._pending):
            rest = self._pending[line.end() :]
            if rest[:1] in (b" ", b"\t"):
                return True
            is_interim = line[1].startswith(b"1")
            if rest and not is_interim:
                self._end()
                return False
            # A head without fields ends with the line break of its status line.
            end = _HEAD_END.search(self._pending, line.end() - 1)
            if end is None:
                break
            self._pending = self._pending[end.end() :]
        if len(self._pending) > MAX_PENDING_BYTES:
            self._end()
        return False

    def _end(self) -> None:
        self._is_done = True
        self._pending = b""
