"""Small helpers that belong to no part."""

import hashlib


def stable_digest(name: str) -> bytes:
    """Hash a name into 8 bytes, alike on all nodes and in all their lives."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


MAX_DOUBLINGS = 16
"""Doublings of a rest that are counted; its bound is reached long before, and a power
of two of some thousand failures in a row does not fit a float."""


def backoff_seconds(failures: int, *, first: float, most: float) -> float:
    """Rest after so many failures in a row before the one just met."""
    return min(most, first * 2 ** min(failures, MAX_DOUBLINGS))
