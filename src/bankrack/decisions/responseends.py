"""Whether the end of a connection was the end of the response on it.

The system closes the connections of a process that ends, so a response that only the
end of its connection ends is complete only if its upstream lives on behind that end,
and had no reason to cut the response off.  Silence proves neither, so it is asked again
while the caller waits, unless something else can serve the request.
"""

import dataclasses
import typing as t


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
    """An instance answered at the upstream's address behind the end.

    :param healthy: it does not call itself full, failing or about to end.
    """

    by: Instance
    healthy: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """No instance is known to have answered there."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """No process listens at the upstream's address."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class NotAskable:
    """There is nothing to ask the upstream."""

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


Evidence = Answered | Unanswered | Refused | NotAskable | LeftUnread | OutOfTime


@dataclasses.dataclass(slots=True, frozen=True)
class NoRecourse:
    """Nothing else can serve the request whose response is in doubt."""

    name: t.ClassVar = "none"


@dataclasses.dataclass(slots=True, frozen=True)
class OtherUpstream:
    """The request may be sent to another upstream."""

    name: t.ClassVar = "other"


@dataclasses.dataclass(slots=True, frozen=True)
class HeldCopy:
    """The run can go on at a copy."""

    name: t.ClassVar = "copy"


Recourse = NoRecourse | OtherUpstream | HeldCopy

MAX_UNREAD_SECONDS = 1.0
"""Upstreams cut off responses that lie unread for seconds."""
OUT_OF_TIME_SECONDS = 0.05
"""Time left from which an upstream, whose clock starts a little later or whose count is
rounded, may have stopped work."""
LEAVING_SECONDS = 0.3
"""Time that an unhealthy upstream must live on: one that stops may close its
connections some moments before it ends."""
OTHER_UPSTREAM_SECONDS = 2.0
"""Time for a proof if the request can be sent to another upstream."""
HURRIED_OTHER_SECONDS = 0.4
"""The same while this node ends, which leaves the other upstream time to answer."""
HELD_COPY_SECONDS = 0.6
"""The same for a run that can go on at a copy, whose caller waits meanwhile."""
DEADLINE_MARGIN_SECONDS = 0.05
"""Time before the caller's deadline at which the doubt is reported."""
RETRY_INTERVAL_SECONDS = 0.2
"""Pause before an upstream that proved nothing is asked again."""
LONG_RETRY_INTERVAL_SECONDS = 1.0
"""The same once it has been asked for :data:`OTHER_UPSTREAM_SECONDS`."""


def doubt(upstream: Instance, evidence: Evidence) -> str | None:
    """Return why a response may be incomplete, or ``None`` if it is complete."""
    match evidence:
        case Unanswered(reason) | Refused(reason) | NotAskable(reason):
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


def is_settled(upstream: Instance, evidence: Evidence, *, behind: float) -> bool:
    """Whether evidence settles if a response is complete.

    :param behind: seconds from the end of the response to the question that was
        answered.
    """
    match evidence:
        case Unanswered() | Answered(Instance(None)):
            return False
        case Answered(by, healthy) if by == upstream:
            return healthy or behind >= LEAVING_SECONDS
        case Answered(Instance(name, None)) if name == upstream.name:
            return False
        case _:
            return True


def time_alone(*, behind: float) -> float | None:
    """Return the seconds for which a question is the only one; ``None`` for no end.

    The answer to one asked soon behind the end may prove nothing, however late it
    comes, so the next question does not wait for it.

    :param behind: as for :func:`is_settled`.
    """
    return LEAVING_SECONDS - behind if behind < LEAVING_SECONDS else None


def pause_before_question(
    upstream: Instance,
    evidence: Evidence,
    *,
    behind: float,
    now: float,
    hurried: bool = False,
) -> float:
    """Return the seconds after which an upstream is asked again.

    :param behind: as for :func:`is_settled`.
    :param now: seconds since the end of the response.
    :param hurried: this node ends soon.
    """
    match evidence:
        case Answered(by) if by == upstream and behind < LEAVING_SECONDS:
            return max(0.0, LEAVING_SECONDS - now)
        case _ if hurried or now < OTHER_UPSTREAM_SECONDS:
            return RETRY_INTERVAL_SECONDS
        case _:
            return LONG_RETRY_INTERVAL_SECONDS


def recourse_of(*, has_copy: bool, may_repeat: bool) -> Recourse:
    """Return what can serve a request whose response is in doubt.

    :param has_copy: its run can go on at a copy.
    :param may_repeat: it may be sent to another upstream, and there is one.
    """
    if has_copy:
        return HeldCopy()
    return OtherUpstream() if may_repeat else NoRecourse()


def patience(recourse: Recourse, *, time_left: float, hurried: bool = False) -> float:
    """Return the seconds for which a proof is waited for.

    :param time_left: seconds until the caller's deadline.
    :param hurried: this node ends soon.
    """
    left = max(0.0, time_left - DEADLINE_MARGIN_SECONDS)
    match recourse:
        case HeldCopy():
            return min(HELD_COPY_SECONDS, left)
        case OtherUpstream() if hurried:
            return min(HURRIED_OTHER_SECONDS, left)
        case OtherUpstream():
            return min(OTHER_UPSTREAM_SECONDS, left)
        case NoRecourse():
            return left
