"""Whether the end of a connection was the end of the response on it.

The system closes the connections of a process that ends, so a response that only the
end of its connection ends is complete only if its upstream lives on behind that end,
and had no reason to cut the response off.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Instance:
    """What identifies one life of an upstream.

    :param name: ``None`` if it was not stated.
    :param born: start of the process in Unix milliseconds; ``None`` if not stated, or
        if each life has a name of its own.
    """

    name: str | None
    born: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """An instance answered at the upstream's address behind the end."""

    by: Instance


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """No instance is known to have answered there."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class LeftUnread:
    """This node left the response unread for a time, in seconds.

    An upstream that lives on may have cut it off meanwhile.
    """

    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class OutOfTime:
    """The response ended when the time was over that its upstream had for it."""


Evidence = Answered | Unanswered | LeftUnread | OutOfTime

MAX_UNREAD_SECONDS = 1.0
"""Upstreams cut off responses that lie unread for seconds."""
OUT_OF_TIME_SECONDS = 0.05
"""Time left from which an upstream, whose clock starts a little later or whose count is
rounded, may have stopped work."""


def doubt(upstream: Instance, evidence: Evidence) -> str | None:
    """Return why a response may be incomplete, or ``None`` if it is complete."""
    match evidence:
        case Unanswered(reason):
            return reason
        case LeftUnread(seconds):
            return f"it lay unread for {seconds:.2f} s, in which it may be cut off"
        case OutOfTime():
            return "its upstream's time was over, at which upstreams stop work"
        case Answered(by) if by == upstream:
            return None
        case Answered(Instance(None)):
            return "the instance at its address states no name"
        case Answered(by):
            return f"another instance answers at its address ({by.name}, {by.born})"


def cut_evidence(*, unread: float, time_left: float) -> Evidence | None:
    """Return why an upstream that lives on may have cut a response off, if it may.

    :param unread: longest time for which the response was not read, in seconds.
    :param time_left: seconds of the upstream's time that were left at the end.
    """
    if unread >= MAX_UNREAD_SECONDS:
        return LeftUnread(unread)
    if time_left <= OUT_OF_TIME_SECONDS:
        return OutOfTime()
    return None
