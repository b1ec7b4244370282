"""Idempotency keys of requests that must run at most once."""

import typing as t
import uuid

from multidict import CIMultiDictProxy

from bankrack.exceptions import RequestKeyRefused

HEADER = "Idempotency-Key"
UUID_VERSION = 7


def read(headers: CIMultiDictProxy[str]) -> str:
    """Return the key in a request's headers, or an empty string if it has none.

    Raises :exc:`RequestKeyRefused`.
    """
    values = headers.getall(HEADER, [])
    if not values:
        return ""
    if len(values) > 1:
        raise RequestKeyRefused("there are several Idempotency-Key headers; send one")
    return str(_parse(values[0]))


def _parse(text: str) -> uuid.UUID:
    try:
        key = uuid.UUID(text.strip().strip('"'))
    except ValueError as error:
        raise _key_error() from error
    if key.version != UUID_VERSION:
        raise _key_error()
    return key


def seconds(key: str) -> float:
    """Return the Unix time in seconds at which a UUIDv7 was created."""
    return (uuid.UUID(key).int >> 80) / 1000.0


def make(now: float, random_bits: t.Callable[[int], int]) -> str:
    """Create a UUIDv7.

    :param now: Unix time in seconds.
    :param random_bits: returns a random integer of the given number of bits.
    """
    value = int(now * 1000) << 80
    value |= UUID_VERSION << 76
    value |= random_bits(12) << 64
    value |= 0b10 << 62
    value |= random_bits(62)
    return str(uuid.UUID(int=value))


def _key_error() -> RequestKeyRefused:
    return RequestKeyRefused(
        "the Idempotency-Key is not a UUIDv7; generate one per request"
    )
