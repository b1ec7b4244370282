"""Bounds what a node holds for callers that read slowly, and for request bodies.

The load: hundreds of callers open streams and stop reading, or send bodies of several
megabytes at once, on a VM with little memory.  Unread events pile up in the node while
its engines keep sending, and every body is held until its request has been answered.
Without a bound the process runs out of memory and all its callers lose their requests.

A caller that reads nothing can't be told from one that pauses, except by time.  So the
caller that has read nothing for longest is cut first, and one that still reads is never
cut: its engine has to wait for it instead.
"""

import dataclasses
import math
import typing as t

MEMORY_FRACTION = 1 / 8
"""Share of the VM's memory for unread replies, and the same for request bodies.  A body
exists twice while it is sent, so both together stay under half of the memory; the
process itself needs the rest."""
REPLY_FRACTION = 1 / 8
"""Share of the replies' memory that one reply may use, so that a few callers that read
slowly can't use up the memory for all others."""
FULL_FRACTION = 7 / 8
"""Fill from which the memory for replies counts as full, before writers have to wait
for callers that do read."""
ROOM_FRACTION = 3 / 4
"""Fill to which replies are cut once their memory is full, so that the remaining ones
don't fill it again at once."""
STALL_SILENCES = 2.0
"""Time without reading until a reply is cut, as a multiple of the silence after which
callers give up a stream.  A caller may pause for as long as it would wait itself."""
PRESSED_STALL_SILENCES = 0.5
"""The same while the memory is full.

A caller's host tells of what was read in pieces of a sixteenth of its receive buffer,
mostly 8 kB, so this cuts no caller that reads 8 kB a second or more."""
SMALL_BODY_BYTES = 16 * 1024
"""Size up to which bodies are never held back, as the HTTP library holds as much for
each connection anyway."""
MIN_UPSTREAM_BYTES = 4 * 1024 * 1024
"""Size of body that upstreams are expected to take if the configuration allows less."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Bounds in bytes; infinite where the VM's memory is unknown.

    :param replies: unread bytes of all replies of a node.
    :param reply: unread bytes of one reply.
    :param bodies: bytes of all request bodies that a node holds.
    """

    replies: float = math.inf
    reply: float = math.inf
    bodies: float = math.inf

    @property
    def bounded(self) -> bool:
        """Whether there is any bound."""
        return self.replies < math.inf


def limits_of(memory_mb: float) -> Limits:
    """Derive the limits from a VM's memory; values that are no size give no limits."""
    if not 0.0 < memory_mb < math.inf:
        return Limits()
    share = memory_mb * 1024 * 1024 * MEMORY_FRACTION
    return Limits(replies=share, reply=share * REPLY_FRACTION, bodies=share)


@dataclasses.dataclass(slots=True, frozen=True)
class UnreadReply:
    """A reply with bytes that its caller has not read.

    :param number: identifies the reply.
    :param held: unread bytes.
    :param stalled: seconds since the caller last read.
    :param max_silence: seconds without an event after which the caller gives up.
    """

    number: int
    held: int
    stalled: float
    max_silence: float


@dataclasses.dataclass(slots=True, frozen=True)
class Keep:
    """The bytes may be held."""


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Hold no more bytes for this caller before it has read some."""


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """The bytes must not be accepted now."""


@dataclasses.dataclass(slots=True, frozen=True)
class Cut:
    """Close the connection to the caller.

    :param number: of the reply.
    :param reason: ``stalled``, or ``memory`` if it was cut to make room for others.
    """

    number: int
    reason: str


def may_hold(held: int, total: float, limits: Limits) -> Keep | Wait:
    """Decide whether events may be held for a caller that has not read them.

    :param held: unread bytes of the reply, with the new ones.
    :param total: unread bytes of all replies, with the new ones.
    """
    if held > limits.reply or total > limits.replies:
        return Wait()
    return Keep()


def choose_cuts(replies: t.Collection[UnreadReply], limits: Limits) -> list[Cut]:
    """Choose the replies to cut: stalled ones, and more of them if the memory is full.

    While the memory is full, the longest stalled reply goes first and among equals the
    one with the most unread bytes.  If the callers of all replies still read, none is
    cut.
    """
    cuts = []
    total = 0
    pressed = []
    for reply in replies:
        if reply.stalled >= STALL_SILENCES * reply.max_silence:
            cuts.append(Cut(reply.number, "stalled"))
            continue
        total += reply.held
        if reply.stalled >= PRESSED_STALL_SILENCES * reply.max_silence:
            pressed.append(reply)
    if total < FULL_FRACTION * limits.replies:
        return cuts
    pressed.sort(key=lambda reply: (reply.stalled, reply.held), reverse=True)
    for reply in pressed:
        if total <= ROOM_FRACTION * limits.replies:
            break
        cuts.append(Cut(reply.number, "memory"))
        total -= reply.held
    return cuts


def may_accept_body(size: int, held: int, limit: float) -> Keep | Refuse:
    """Decide whether a request body may be held beside ``held`` bytes of others.

    One body is always accepted where no other is held, or a limit below the configured
    size of a body would refuse it for ever.
    """
    fits = size <= SMALL_BODY_BYTES or not held or held + size <= limit
    return Keep() if fits else Refuse()


def upstream_limit(limits: Limits, largest_body: int) -> float:
    """Bound of the bytes that a node has in flight to one upstream.

    An upstream states no memory.  It must be able to take the largest body that the
    configuration allows, so several bodies go there at once only if they are together
    no larger than that one; larger ones go one after the other.
    """
    return max(largest_body, MIN_UPSTREAM_BYTES) if limits.bounded else math.inf


def may_send_body(size: int, in_flight: int, limit: float) -> bool:
    """Decide whether a body may be sent beside ``in_flight`` bytes of others."""
    return size <= SMALL_BODY_BYTES or not in_flight or in_flight + size <= limit
