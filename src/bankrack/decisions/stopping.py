"""Which requests a stopping node still serves.

A request that no upstream has can be refused at any time: its caller may send it to
another node, and has more time for that the sooner it is told.  One that an upstream
may have run is worth waiting for until the node ends.
"""

import dataclasses
import enum


class Verdict(enum.Enum):
    """What to do with a request now."""

    SERVE = "serve"
    REFUSE = "refuse"
    END = "end"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestState:
    """A request that a stopping node has.

    :param may_have_run: an upstream has it, or had it and did not reject it.
    :param seconds: most time from now to the end of its response; ``None`` if unknown.
    """

    may_have_run: bool
    seconds: float | None


def judge(request: RequestState, *, left: float) -> Verdict:
    """Decide what to do with a request.

    :param left: seconds until the node ends.
    """
    if request.may_have_run:
        return Verdict.SERVE if left > 0.0 else Verdict.END
    seconds = 0.0 if request.seconds is None else request.seconds
    return Verdict.SERVE if seconds < left else Verdict.REFUSE
