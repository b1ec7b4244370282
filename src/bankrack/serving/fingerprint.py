"""Fingerprints that identify repeated requests without storing their content."""

import hashlib

from bankrack.serving.job import Job

DIGEST_BYTES = 12
"""Digest size; with 96 bits collisions are negligible."""


def fingerprint(job: Job, workspace: str | None) -> str:
    """Hash the path, workspace and body of a request, identically on all nodes.

    The workspace is used instead of its API key, as keys change and neither keys nor
    bodies may be stored or sent to other nodes in the clear.  Headers are left out, as
    a retry has another id and deadline.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (job.target.encode(), (workspace or "").encode(), job.body):
        # The length prefix prevents ambiguity at the boundaries of the parts.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
