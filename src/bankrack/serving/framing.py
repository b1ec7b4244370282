"""What tells the end of a response's body (RFC 9112, 6.3)."""

import enum

from multidict import CIMultiDict
from multidict import CIMultiDictProxy

STATUSES_WITHOUT_BODY = (204, 304)


class Framing(enum.Enum):
    """How the end of a response's body shows."""

    CHUNKED = "chunked"
    LENGTH = "length"
    NO_BODY = "no_body"
    CONNECTION = "connection"
    """Only the end of its connection ends the body."""


def framing_of(
    method: str, status: int, headers: CIMultiDict[str] | CIMultiDictProxy[str]
) -> Framing:
    """Return the framing of a response.

    :param method: method of its request.
    """
    if method == "HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    codings = headers.getall("Transfer-Encoding", [])
    if codings:
        last = ",".join(codings).rpartition(",")[2].strip().lower()
        return Framing.CHUNKED if last == "chunked" else Framing.CONNECTION
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION
