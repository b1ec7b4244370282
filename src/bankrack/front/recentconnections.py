"""Callers' connections in the order of their latest activity."""

import collections
import typing as t

from bankrack.clock import boottime

MIN_IDLE_SECONDS = 0.1
"""Time without bytes after which a connection may be closed for a new one."""
MAX_EXAMINED = 32
"""Connections that are looked at for one that is idle."""


class Connection(t.Protocol):
    """A caller's connection."""

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request is here."""
        ...

    def force_close(self) -> None:
        """Close it."""
        ...


class RecentConnections:
    """Callers' connections in the order of their latest activity."""

    def __init__(self, clock: t.Callable[[], float] = boottime) -> None:
        self._clock = clock
        self._active_at_by_connection: collections.OrderedDict[Connection, float] = (
            collections.OrderedDict()
        )

    def note_active(self, connection: Connection) -> None:
        """Record that bytes arrived, or that the connection is new."""
        self._active_at_by_connection[connection] = self._clock()
        self._active_at_by_connection.move_to_end(connection)

    def forget(self, connection: Connection) -> None:
        """Record the end of a connection."""
        self._active_at_by_connection.pop(connection, None)

    def close_idle(self) -> bool:
        """Close the connection that has been idle for longest, if one is.

        Those on which a request is served count as active now, so that no call looks
        at many of them.
        """
        now = self._clock()
        for _ in range(MAX_EXAMINED):
            connection = next(iter(self._active_at_by_connection), None)
            if connection is None:
                return False
            if now < self._active_at_by_connection[connection] + MIN_IDLE_SECONDS:
                return False
            if connection.is_idle:
                self.forget(connection)
                connection.force_close()
                return True
            self.note_active(connection)
        return False
