"""Checks the heads of responses; the parsers of aiohttp let different faults pass."""

import re
import typing as t

FIRST_STATUS = 100
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(rb"[0-9]+")

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
