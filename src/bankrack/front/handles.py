"""Signed handles with which any node can resume a stream.

A handle identifies the workspace, service, upstream and generation.  It is signed
with a key from the configuration, so nodes store no handles, and callers can
neither guess nor modify them.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from bankrack.exceptions import NotFound

SIGNATURE_BYTES = 16


class Handle(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a generation on an upstream."""

    workspace: str
    service: str
    upstream: str
    generation: str
    kind: str


def sign(handle: Handle, key: str) -> str:
    """Encode and sign a handle as URL-safe text."""
    payload = msgspec.msgpack.encode(handle)
    return _base64(_signature(payload, key) + payload)


def verify(text: str, key: str, workspace: str) -> Handle:
    """Decode a handle and check its signature and workspace.

    All failures raise the same error, so that it reveals nothing about the handle.
    """
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError) as error:
        raise _unknown_generation() from error
    signature, payload = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(payload, key)):
        raise _unknown_generation()
    try:
        handle = msgspec.msgpack.decode(payload, type=Handle)
    except msgspec.DecodeError as error:
        raise _unknown_generation() from error
    if handle.workspace != workspace:
        raise _unknown_generation()
    return handle


def _signature(payload: bytes, key: str) -> bytes:
    digest = hmac.new(key.encode(), payload, hashlib.sha256).digest()
    return digest[:SIGNATURE_BYTES]


def _base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _unknown_generation() -> NotFound:
    return NotFound("no such generation for this workspace; send a new request")
