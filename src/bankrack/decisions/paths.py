"""Choice of the path on which to connect to an upstream."""

import dataclasses
import enum

TUNNEL_MEMORY_SECONDS = 10.0
"""Time for which a tunnel that reached an upstream is preferred to a failing path."""
RECENT_SECONDS = 0.5
"""Time after a direct connection in which a slow one is taken for a busy process."""
RETEST_INTERVAL_SECONDS = 0.5
"""Pause between two tests of a failing path while tunnels are used."""


class PathKind(enum.StrEnum):
    """A way to connect to an upstream: directly, or through another node."""

    DIRECT = "direct"
    TUNNEL = "tunnel"


@dataclasses.dataclass(slots=True)
class Path:
    """This node's own path to an upstream; times are in seconds.

    :ivar connected_at: time of the newest direct connection.
    :ivar failed_at: time of the newest failed attempt.
    :ivar error: that attempt's error; empty while attempts succeed.
    :ivar tunnelled_at: time of the newest connection through another node; 0 if the
        newest attempt to open one failed.
    """

    connected_at: float = 0.0
    failed_at: float = 0.0
    error: str = ""
    tunnelled_at: float = 0.0


def first_kind(path: Path, now: float) -> PathKind:
    """Return the way to try first.

    An upstream that no node reaches is down, so tunnels to it are not tried first.
    """
    is_tunnelled = now - path.tunnelled_at < TUNNEL_MEMORY_SECONDS
    if path.error and path.tunnelled_at and is_tunnelled:
        return PathKind.TUNNEL
    return PathKind.DIRECT


def worked_recently(path: Path, now: float) -> bool:
    """Whether a slow direct attempt is no sign that the path is broken."""
    return not path.error and now - path.connected_at < RECENT_SECONDS


def retest_due(path: Path, now: float) -> bool:
    """Whether to test again if a path works for which tunnels are used."""
    return now - max(path.failed_at, path.connected_at) >= RETEST_INTERVAL_SECONDS
