"""What tells the end of a response's body (RFC 9112, 6.3)."""

import enum
import typing as t

STATUSES_WITHOUT_BODY = (204, 304)


class Framing(enum.Enum):
    """How the end of a response's body shows."""

    CHUNKED = "chunked"
    LENGTH = "length"
    NO_BODY = "no_body"
    CONNECTION = "connection"
    """Only the end of its connection ends the body."""


def framing_of(method: str, status: int, headers: t.Mapping[str, str]) -> Framing:
    """Return the framing of a response.

    :param method: method of its request.
    :param headers: case-insensitive.
    """
    if method == "HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    codings = headers.get("Transfer-Encoding")
    if codings is not None:
        last = codings.rpartition(",")[2].strip().lower()
        return Framing.CHUNKED if last == "chunked" else Framing.CONNECTION
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION
