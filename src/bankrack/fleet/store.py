"""Interface of the key-value store for durable and shared state."""

import dataclasses
import typing as t

ERA_SHIFT = 40
"""Bits of a revision below its era."""


def joint_revision(era: int, number: int) -> int:
    """Join a revision number and the era of the store that gave it out.

    A store that returns from an older copy gives numbers out again, in a new era.
    Joint revisions of all eras are in order.
    """
    return era << ERA_SHIFT | number


def era_of(revision: int) -> int:
    """Return the era of a joint revision."""
    return revision >> ERA_SHIFT


def number_of(revision: int) -> int:
    """Return the number of a joint revision within its era."""
    return revision & (1 << ERA_SHIFT) - 1


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """The value of a key; ``None`` if the key was removed.

    :param revision: joint revision of the last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Items as of the joint ``revision`` or later.

    :param until: last key up to which the items are complete; ``None`` if all are.
    :param beyond: key after which the items are complete; empty if all are.
    """

    items: tuple[Item, ...]
    revision: int
    until: str | None = None
    beyond: str = ""


@dataclasses.dataclass(slots=True)
class ReadProgress:
    """Pages of a read that failed midway, with which the next read continues.

    :param began: time at which the first page was requested.
    :param items: of the pages read so far.
    :param revisions: of these pages.
    :param beyond: key after which the read starts; empty to read all.
    :param after: last key read.
    """

    began: float
    items: list[Item] = dataclasses.field(default_factory=list)
    revisions: list[int] = dataclasses.field(default_factory=list)
    beyond: str = ""
    after: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.after = self.beyond

    def restart(self) -> None:
        """Forget the pages, as they are of an earlier era than the next one."""
        self.items.clear()
        self.revisions.clear()
        self.after = self.beyond


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """A granted lease.

    :param ttl: seconds from the call until the lease expires.
    :param era: of the store that granted it; in a later one it may be another node's.
    """

    id: int
    ttl: float
    era: int = 0


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

    async def newest(self, held: Item, *, timeout: float) -> Item:
        """Return an item as the store has it now, which is ``held`` if it is unchanged.

        The value is transferred only if it changed. Counts as a write.

        :param timeout: longest silence of the store in seconds.
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
