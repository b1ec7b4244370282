"""Node with one known bug enabled, to verify that the soak detects it.

``python -m soak.buggy_node BUG node --settings FILE``
"""

import sys
import typing as t

from bankrack import cli
from bankrack.control import claims
from bankrack.control import configuration
from bankrack.exceptions import Outcome
from bankrack.generations import generation
from bankrack.generations import stream


def claim_without_read_back() -> None:
    """Treat every claim as granted, even if another node holds it."""
    original = claims.PendingClaim.resolve

    def resolve(self: claims.PendingClaim, granted: bool) -> None:
        original(self, True)

    claims.PendingClaim.resolve = resolve  # type: ignore[method-assign]


def resume_one_late() -> None:
    """Resume streams one token too late."""
    original = stream.StreamCheck.reconnect

    def reconnect(self: stream.StreamCheck) -> None:
        original(self)
        if self.offset:
            self._advance(self.offset + 1)

    stream.StreamCheck.reconnect = reconnect  # type: ignore[method-assign]


def apply_any_revision() -> None:
    """Apply any configuration document, including older revisions."""

    def adopt(self: t.Any, document: t.Any) -> bool:
        self.document = document
        self.intent = configuration.join(document)
        self._on_change(self.intent)
        return True

    configuration.Configuration.adopt = adopt  # type: ignore[method-assign]


def report_not_run() -> None:
    """Report every upstream failure with outcome "not run"."""
    generation.UpstreamFailed.outcome = Outcome.NOT_RUN


BUGS = {
    "claim": claim_without_read_back,
    "resume": resume_one_late,
    "adopt": apply_any_revision,
    "outcome": report_not_run,
}


def main() -> None:
    """Enable the bug and run the command line."""
    BUGS[sys.argv[1]]()
    cli.main(sys.argv[2:])


if __name__ == "__main__":
    main()
