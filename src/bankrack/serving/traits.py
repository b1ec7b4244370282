"""Traits of requests that may crash upstreams: the whole request, or a prompt's part.

The fingerprint names a whole request.  Parts are named by the callers' ids, so that a
log line leads back to the prompt.
"""

import hashlib
import re

from bankrack.serving.job import Demand

PART_PREFIX = "part-"
MAX_PARTS = 32
"""Bounds the parts of one prompt that are held to account."""
DIGEST_BYTES = 12
_PLAIN_ID = re.compile(r"[0-9A-Za-z._]{1,64}")


def is_part(trait: str) -> bool:
    """Whether a trait is a part of a prompt."""
    return trait.startswith(PART_PREFIX)


def part_traits(demand: Demand) -> tuple[str, ...]:
    """Return the traits of the shared parts of a prompt, without duplicates."""
    names = (_trait(part.id) for part in demand.shared_parts[:MAX_PARTS])
    return tuple(dict.fromkeys(names))


def _trait(part_id: str) -> str:
    """Name a part by its id, or by the digest of an id that is no plain word."""
    if _PLAIN_ID.fullmatch(part_id):
        return PART_PREFIX + part_id
    digest = hashlib.blake2b(part_id.encode(), digest_size=DIGEST_BYTES)
    return f"{PART_PREFIX}-{digest.hexdigest()}"
