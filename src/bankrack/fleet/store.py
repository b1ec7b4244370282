"""Interface of the key-value store for durable and shared state."""

import dataclasses
import typing as t


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """The value of a key; ``None`` if the key was removed.

    :param revision: store revision of the last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Items as of ``revision`` or later.

    :param until: last key up to which the items are complete; ``None`` if all are.
    """

    items: tuple[Item, ...]
    revision: int
    until: str | None = None


@dataclasses.dataclass(slots=True)
class ReadProgress:
    """Pages of a read that failed midway, with which the next read continues.

    :param began: time at which the first page was requested.
    :param items: of the pages read so far.
    :param revisions: of these pages.
    :param after: last key read.
    """

    began: float
    items: list[Item] = dataclasses.field(default_factory=list)
    revisions: list[int] = dataclasses.field(default_factory=list)
    after: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """A granted lease.

    :param ttl: seconds from the call until the lease expires.
    """

    id: int
    ttl: float


class Store(t.Protocol):
    """A key-value store with revisions, watches and leases.

    Calls raise :exc:`bankrack.exceptions.PlatformUnavailable` if the store does not
    respond or refuses the call; a write may still have taken effect.
    """

    async def read(
        self,
        *,
        members: bool,
        timeout: float,
        progress: ReadProgress | None = None,
        before_next_page: t.Callable[[], t.Awaitable[None]] | None = None,
    ) -> Snapshot:
        """Read everything that nodes follow, without stale values.

        :param members: whether to include member entries, which may take further calls.
        :param timeout: longest silence of the store in seconds.
        :param progress: what an earlier call has read; updated by this one.
        :param before_next_page: awaited before each page but the first one; what it
            raises ends the read.
        """
        ...

    async def watch(self, since: int, *, wait: float) -> Snapshot:
        """Wait for changes after revision ``since``; may return none.

        Raises :exc:`bankrack.exceptions.HistoryCompacted`.

        :param wait: longest wait in seconds.
        """
        ...

    async def grant(self, ttl: float) -> Lease:
        """Grant a lease for ``ttl`` seconds."""
        ...

    async def renew(self, lease: Lease) -> None:
        """Renew a lease; raises :exc:`bankrack.exceptions.LeaseExpired`."""
        ...

    async def revoke(self, lease: Lease) -> None:
        """Revoke a lease, which removes its keys."""
        ...

    async def announce(self, name: str, value: bytes, lease: Lease) -> None:
        """Write this node's own entry under a lease."""
        ...

    async def save_quarantine(
        self, fingerprint: str, value: bytes, lease: Lease
    ) -> None:
        """Write the crashes of a quarantined request under a lease."""
        ...
