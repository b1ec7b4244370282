"""Registry of the known upstreams."""

import collections
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.poolcount import PoolCounts
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord

MAX_REMOVED = 6_500
"""Bounds the upstreams kept after their entries were removed.  While the store is
unavailable, all entries of a fleet may expire together."""


class Upstreams:
    """All known upstreams, indexed by id.

    :ivar serial: changes whenever an upstream joins or is removed.
    """

    def __init__(self, *, clock: t.Callable[[], float] = boottime) -> None:
        self.by_id: dict[str, Upstream] = {}
        self.evacuated_halls: set[str] = set()
        self.pool_counts = PoolCounts(clock=clock)
        self.serial = 0
        self._of_service: dict[str, list[Upstream]] = {}
        self._size_by_service: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._removed_by_id: collections.OrderedDict[str, Upstream] = (
            collections.OrderedDict()
        )

    def put(self, record: UpstreamRecord) -> str | None:
        """Add or update an upstream; returns the kind of change, or ``None``."""
        now = self._clock()
        known = self.by_id.get(record.id)
        if known is None:
            return self._add(record, now)
        # An upstream may become cold again at any time, with an unchanged duration.
        known.note_cold(record.cold_seconds, now)
        if known.record == record:
            return None
        before = known.record.service
        known.record = record
        if before != record.service:
            self._note_changed(before, -1)
            self._note_changed(record.service, 1)
        known.evacuated = record.hall in self.evacuated_halls
        if record.leaving and known.note_leaving(now):
            return "leaving"
        return "changed"

    def _add(self, record: UpstreamRecord, now: float) -> str:
        """Add an upstream; an instance that was known before keeps its state."""
        joined = self._removed_by_id.pop(record.id, None) or Upstream(record, now)
        self.by_id[record.id] = joined
        joined.record = record
        self._note_changed(record.service, 1)
        joined.removed_at = 0.0
        joined.evacuated = record.hall in self.evacuated_halls
        joined.note_cold(record.cold_seconds, now)
        if record.leaving:
            joined.note_leaving(now)
        return "leaving" if joined.leaving else "joined"

    def remove(self, upstream_id: str) -> bool:
        """Remove an upstream whose entry was deleted; returns whether it was known.

        Its state is kept for the streams that still use it and for the return of the
        entry: entries expire while the store is unavailable, and what the upstream
        stated meanwhile remains valid.
        """
        known = self.by_id.pop(upstream_id, None)
        if known is None:
            return False
        self._note_changed(known.record.service, -1)
        known.removed_at = self._clock()
        self._removed_by_id[upstream_id] = known
        if len(self._removed_by_id) > MAX_REMOVED:
            self._removed_by_id.popitem(last=False)
        return True

    def find(self, upstream_id: str) -> Upstream | None:
        """Return the upstream with this id, including those without an entry."""
        return self.by_id.get(upstream_id) or self._removed_by_id.get(upstream_id)

    def has_address(self, address: str) -> bool:
        """Whether an upstream with an entry has this address."""
        return any(known.record.address == address for known in self.by_id.values())

    def note_leaving(self, upstream_id: str) -> bool:
        """Record a shutdown, also without an entry; returns whether that is new."""
        known = self.find(upstream_id)
        return known is not None and known.note_leaving(self._clock())

    def note_restart(self, upstream_id: str) -> None:
        """Record that an upstream was restarted and lost its runs and copies."""
        known = self.by_id.get(upstream_id)
        if known is not None:
            known.ended = True

    def evacuate(self, hall: str) -> None:
        """Stop sending new work to the upstreams of a hall."""
        self.evacuated_halls.add(hall)
        self._set_evacuated(hall, evacuated=True)

    def end_evacuation(self, hall: str) -> None:
        """Resume sending work to the upstreams of a hall."""
        self.evacuated_halls.discard(hall)
        self._set_evacuated(hall, evacuated=False)

    def _set_evacuated(self, hall: str, *, evacuated: bool) -> None:
        for upstream in self.by_id.values():
            if upstream.record.hall == hall:
                upstream.evacuated = evacuated

    def of(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service, including those shutting down."""
        found = self._of_service.get(service)
        if found is None:
            every = self.by_id.values()
            found = [u for u in every if u.record.service == service]
            if found:
                self._of_service[service] = found
        return list(found)

    def _note_changed(self, service: str, difference: int) -> None:
        """Record that upstreams of a service joined or were removed."""
        self.serial += 1
        self._of_service.pop(service, None)
        self._size_by_service[service] += difference
        self.pool_counts.note(service, self._size_by_service[service])

    def pools_of(self, service: str) -> int:
        """Number of pools into which the upstreams of a service are split."""
        return self.pool_counts.pools(service)

    def uneven(self, service: str) -> bool:
        """Whether upstreams of a service state that work takes unequally long."""
        return any(upstream.uneven for upstream in self.of(service))

    def open_of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new work.

        This includes those that are backing off for this node.
        """
        return [u for u in self.of(service) if u.open]

    def available_of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that this node may send new work now."""
        now = self._clock()
        return [u for u in self.of(service) if u.is_available(now)]

    def backoff_left(self, service: str) -> float | None:
        """Seconds until the first of a service's upstreams accepts work again.

        ``None`` unless back-offs and rate limits are the only obstacle.  Excluded ones
        don't count, unless all are.
        """
        now = self._clock()
        open_upstreams = self.open_of(service)
        in_use = [u for u in open_upstreams if not u.excluded(now)] or open_upstreams
        left = [u.closed_until - now for u in in_use]
        return min(left) if left and min(left) > 0.0 else None
