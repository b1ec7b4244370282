"""What makes two requests the same one, without keeping what they say."""

import hashlib

from bankrack.serving.job import Job

DIGEST_BYTES = 12
"""96 bits: two of a million requests are taken for one with a chance of 1e-17."""


def fingerprint(job: Job, workspace: str | None) -> str:
    """Digest path, caller and body of a request, alike on all nodes.

    The caller is the workspace, not its key: keys change, and neither a key nor a body
    may be kept or told in the clear.  Headers are left out, since a request that comes
    again has another id and another deadline.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (job.target.encode(), (workspace or "").encode(), job.body):
        # The length first, or the end of one part could pass for the next one's start.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
