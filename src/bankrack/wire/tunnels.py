"""Messages that open a tunnel: the ``CONNECT`` method of HTTP (RFC 9110, 9.3.6)."""

import enum
import http
import re

MAX_HEAD_BYTES = 1024
END_OF_HEAD = b"\r\n\r\n"
_REQUEST = re.compile(rb"CONNECT ([0-9.]+:[0-9]{1,5}) HTTP/1\.1\r\n")
_CLOSE = b"\r\nConnection: close\r\n"
_RESPONSE = re.compile(rb"HTTP/1\.1 ([0-9]{3}) ")


class TunnelStatus(enum.IntEnum):
    """Answer to a request for a tunnel."""

    OPEN = http.HTTPStatus.OK
    UNKNOWN_UPSTREAM = http.HTTPStatus.FORBIDDEN
    REFUSED = http.HTTPStatus.BAD_GATEWAY  # The upstream refused the connection.
    UNREACHED = http.HTTPStatus.GATEWAY_TIMEOUT  # It did not answer this node either.
    FULL = http.HTTPStatus.SERVICE_UNAVAILABLE


def encode_request(address: str, *, single_use: bool = False) -> bytes:
    """Encode a request for a tunnel to ``ip:port``.

    :param single_use: the tunnel is closed behind its first exchange.
    """
    fields = f"Host: {address}\r\n"
    if single_use:
        fields += "Connection: close\r\n"
    return f"CONNECT {address} HTTP/1.1\r\n{fields}\r\n".encode()


def decode_request(head: bytes) -> str | None:
    """Return the address that a tunnel is requested to; ``None`` if malformed."""
    match = _REQUEST.match(head)
    return match[1].decode() if match else None


def is_single_use(head: bytes) -> bool:
    """Whether the tunnel that is requested is closed behind its first exchange."""
    return _CLOSE in head


def encode_response(status: TunnelStatus) -> bytes:
    """Encode the answer to a request for a tunnel."""
    phrase = http.HTTPStatus(status).phrase
    return f"HTTP/1.1 {status.value} {phrase}\r\n\r\n".encode()


def decode_response(head: bytes) -> TunnelStatus:
    """Decode an answer; raises :exc:`ValueError`."""
    match = _RESPONSE.match(head)
    if match is None:
        raise ValueError(f"no answer to a request for a tunnel: {head[:40]!r}")
    return TunnelStatus(int(match[1]))
