"""Local replica of the store: configuration, upstreams and members, with its age."""

import asyncio
import collections
import dataclasses
import itertools
import logging
import math
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.storeoutage import Outage
from bankrack.exceptions import PlatformDataInvalid
from bankrack.fleet.changelog import MemberLog
from bankrack.fleet.changelog import UpstreamLog
from bankrack.fleet.documents import Decoder
from bankrack.fleet.documents import Document
from bankrack.fleet.documents import Evacuation
from bankrack.fleet.documents import Member
from bankrack.fleet.documents import Quarantine
from bankrack.fleet.pendingvalues import PendingValues
from bankrack.fleet.replacements import is_older_table
from bankrack.fleet.replacements import is_replaced
from bankrack.fleet.replacements import is_restored
from bankrack.fleet.store import era_of
from bankrack.fleet.store import Item
from bankrack.fleet.store import number_of
from bankrack.fleet.store import Snapshot
from bankrack.fleet.valueparts import LARGE_VALUE_BYTES
from bankrack.fleet.valueparts import Outline
from bankrack.serving.crashregister import CrashRegister
from bankrack.serving.registry import Upstreams
from bankrack.serving.routing import RoutingTable
from bankrack.serving.upstreams import UpstreamRecord

LAPSE_GRACE_SECONDS = 1.5
"""Grace period after an outage of the store in which upstream entries that are missing
are kept: their leases may have expired during the outage."""
LOG_INTERVAL_SECONDS = 1.0
"""Pause between two log lines on items that are not newer than the known ones."""
MIN_CONFIRMATION_STEP_SECONDS = 0.1
"""Smallest advance of the confirmation time that wakes waiting followers; without it
each step from reader to follower would add a long poll's duration to the age."""
MAX_CHANGES = 5000
"""Newest changes kept to answer followers incrementally."""
MAX_REMOVED_KEYS = 5000
"""Removed keys whose revision is kept, to ignore reads that began before the
removal."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Entry:
    item: Item
    document: Document | None


class View:
    """The newest state of the store that this node knows.

    :param upstreams: updated from the view.
    :param crashes: register updated with the quarantined requests of the store.
    :ivar serial: number of changes applied so far.
    :ivar revision: joint revision of the newest state; its era is the newest known.
    :ivar complete_revision: revision up to which all items are known. It is lower than
        ``revision`` after a read that left out members.
    :ivar confirmed_at: time at which the whole state was last known to be current.
    :ivar whole_at: the same, but for confirmations that left out a large value.
    :ivar current_at: the same as ``whole_at``, but for times at which a newer value was
        known and not here yet.
    :ivar pending: large values that are known to be newer and not here yet.
    :ivar confirmed_by: source of the last complete snapshot.
    :ivar store_failed_at: time at which the store last failed a call of this node, or
        of a node that it follows.
    :ivar updated: set, and replaced by a new event, on each change or confirmation.
    """

    def __init__(
        self,
        decode: Decoder,
        upstreams: Upstreams,
        *,
        crashes: CrashRegister | None = None,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self.table: RoutingTable | None = None
        self.upstreams = upstreams
        self.members_by_name: dict[str, Member] = {}
        self.revision = 0
        self.complete_revision = 0
        self.confirmed_at = 0.0
        self.whole_at = 0.0
        self.current_at = 0.0
        self.pending = PendingValues(clock)
        self.store_failed_at = 0.0
        self._seen_failed_at = 0.0
        self._told_failed_at = 0.0
        self._crashes = crashes or CrashRegister(clock=clock)
        self._decode = decode
        self._clock = clock
        self._entry_by_key: dict[str, _Entry] = {}
        self._grace_until_by_key: dict[str, float] = {}
        self._removed_revision_by_key: dict[str, int] = {}
        self._removed_value_by_key: dict[str, bytes | None] = {}
        self._grace_ends_at = 0.0
        self._restoration_ends_at = 0.0
        self.serial = 0
        self.confirmed_by = ""
        self._changed_keys: collections.deque[str] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self.updated = asyncio.Event()
        self._passed_over_logged_at = -math.inf
        self._member_log = MemberLog(clock=clock)
        self._upstream_log = UpstreamLog()

    @property
    def age(self) -> float:
        """Seconds since the store, or a peer, last confirmed the whole state."""
        return self._clock() - self.confirmed_at

    @property
    def current_age(self) -> float:
        """Seconds since the newest values were last known to be here.

        Larger than ``age`` while a newer value is known and not here yet.
        """
        return self._clock() - self.current_at

    @property
    def whole_age(self) -> float:
        """Seconds since the newest revisions of all values were last known."""
        return self._clock() - self.whole_at

    @property
    def items(self) -> tuple[Item, ...]:
        """All items, to be sent to a peer."""
        return tuple(entry.item for entry in self._entry_by_key.values())

    @property
    def in_outage(self) -> bool:
        """Whether the store failed since the view was last confirmed."""
        return self.store_failed_at > self.confirmed_at

    @property
    def recovered_seconds(self) -> float | None:
        """Seconds since the store recovered; ``None`` after the grace period."""
        left = self._grace_ends_at - self._clock()
        return LAPSE_GRACE_SECONDS - left if left > 0.0 else None

    @property
    def failed_seconds(self) -> float | None:
        """Seconds since the store failed; ``None`` unless it is in an outage."""
        return self._clock() - self.store_failed_at if self.in_outage else None

    @property
    def outage(self) -> Outage:
        """What is known of an outage since the view was last confirmed."""
        return Outage(
            seen=self._seen_failed_at > self.confirmed_at,
            told=self._told_failed_at > self.confirmed_at,
        )

    def note_store_failure(self) -> None:
        """Record that the store failed a call of this node."""
        self._seen_failed_at = self._clock()
        self._note_failure(self._seen_failed_at)

    def note_told_store_failure(self, at: float) -> None:
        """Record that a peer told of a failed call.

        :param at: time of the failure.
        """
        self._told_failed_at = max(self._told_failed_at, at)
        self._note_failure(at)

    def _note_failure(self, at: float) -> None:
        """Record a failure; the first one of an outage is told to followers at once."""
        was_in_outage = self.in_outage
        self.store_failed_at = max(self.store_failed_at, at)
        if self.in_outage and not was_in_outage:
            self._wake()

    def note_store_recovery(self, at: float | None = None) -> None:
        """Start the grace period in which missing upstream entries are kept.

        It ends at the same time on all nodes that learn of the recovery from each
        other.

        :param at: time of the recovery; now by default.
        """
        now = self._clock()
        ends_at = (now if at is None else at) + LAPSE_GRACE_SECONDS
        if self._grace_ends_at > now:
            ends_at = min(ends_at, self._grace_ends_at)
        self._grace_ends_at = ends_at
        for key, until in self._grace_until_by_key.items():
            self._grace_until_by_key[key] = min(until, ends_at)

    def confirm(
        self,
        snapshot: Snapshot,
        *,
        asked_at: float,
        source: str,
        complete_revision: int | None = None,
        pending_keys: t.Iterable[str] = (),
        whole_at: float | None = None,
    ) -> None:
        """Apply a snapshot of the state as of ``asked_at`` or later.

        :param asked_at: time at which the snapshot was requested.
        :param source: the store or the name of the peer that sent it, for the log.
        :param complete_revision: that of the peer's view; by default the snapshot's.
        :param pending_keys: further keys in force, whose values were announced only.
        :param whole_at: that of the peer's view; by default ``asked_at``, unless the
            snapshot leaves out values.
        """
        self._note_era(snapshot.revision, source)
        keys = {item.key for item in snapshot.items}.union(pending_keys)
        for item in snapshot.items:
            self._take(item, source)
        for key, entry in list(self._entry_by_key.items()):
            if not _covers(snapshot, key):
                continue
            if key not in keys and entry.item.revision <= snapshot.revision:
                self._note_missing(key, snapshot.revision, source)
        for key in list(self.pending.by_key):
            if key not in keys and _covers(snapshot, key):
                self._settle(key, snapshot.revision)
        self._upstream_log.flush()
        self.revision = max(self.revision, snapshot.revision)
        if snapshot.until is None and not snapshot.beyond:
            self._note_complete(complete_revision or snapshot.revision)
        if whole_at is None:
            whole_at = self.whole_at if snapshot.beyond else asked_at
        self.note_confirmed(asked_at, whole_at=whole_at)
        self.confirmed_by = source

    def _note_era(self, revision: int, source: str) -> None:
        """Begin a grace period if the store returned from an older copy.

        What the copy lacks may not have been written again yet, and what it has may
        not have been removed again.
        """
        known = era_of(self.revision)
        if not self.revision or era_of(revision) <= known:
            return
        logs.event(
            _logger,
            "store_restored",
            level=logging.WARNING,
            era=era_of(revision),
            before=known,
            revision=number_of(revision),
            known_revision=number_of(self.revision),
            source=source,
        )
        self.note_store_recovery()
        self._restoration_ends_at = self._grace_ends_at

    def _note_complete(self, revision: int) -> None:
        self.complete_revision = max(self.complete_revision, revision)

    def note_confirmed(self, at: float, *, whole_at: float) -> None:
        """Record that the view was current at a given time; wakes waiting followers.

        :param whole_at: the latest such time that holds for all values.
        """
        if at > self.confirmed_at + MIN_CONFIRMATION_STEP_SECONDS:
            self._wake()
        self.confirmed_at = max(self.confirmed_at, at)
        self.whole_at = max(self.whole_at, whole_at)
        self._note_current()

    def _note_current(self) -> None:
        if not self.pending.by_key:
            self.current_at = max(self.current_at, self.whole_at)

    def large_first_key(self) -> str:
        """Return the first key in order if its value is large, otherwise nothing."""
        key = min(self._entry_by_key, default="")
        entry = self._entry_by_key.get(key)
        size = len(entry.item.value or b"") if entry else 0
        return key if size >= LARGE_VALUE_BYTES else ""

    def announce(self, outline: Outline, announcer: Member) -> None:
        """Record that a newer value exists, before its parts are here.

        The followers of this node learn of it at once.
        """
        key, revision = outline.key, outline.revision
        if self.pending.revision_of(key) < revision and self.knows(key, revision):
            return
        if self.pending.add(outline, announcer):
            self._note_change(key)

    def _settle(self, key: str, revision: int) -> None:
        """Note that a key is known up to a revision."""
        self.pending.settle(key, revision)
        self._note_current()

    def keys(self) -> list[str]:
        """Return the keys of all items."""
        return list(self._entry_by_key)

    def revision_of(self, key: str) -> int:
        """Return the revision of the item stored under a key; 0 if there is none."""
        entry = self._entry_by_key.get(key)
        return entry.item.revision if entry else 0

    def knows(self, key: str, revision: int) -> bool:
        """Whether a revision of a key, or what came after it, is known here.

        It may be in force, announced, or removed since.
        """
        return revision <= max(
            self.revision_of(key),
            self.pending.revision_of(key),
            self._removed_revision_by_key.get(key, 0),
        )

    def complete(
        self, keys: t.Iterable[str], items: t.Iterable[Item]
    ) -> Snapshot | None:
        """Complete the items that a peer sent with items already known here.

        Keys that were only announced, or removed since, have none. Returns ``None`` if
        one of ``keys`` is neither known in any way nor among ``items``.
        """
        by_key = {item.key: item for item in items}
        for key in keys:
            if key in by_key:
                continue
            entry = self._entry_by_key.get(key)
            if entry is not None:
                by_key[key] = entry.item
            elif not self.knows(key, 1):
                return None
        return Snapshot(tuple(by_key.values()), 0)

    def apply_changes(
        self, changes: Snapshot, *, source: str, complete_revision: int | None = None
    ) -> None:
        """Apply individual changes in their order.

        :param complete_revision: revision up to which all items are known with these
            changes, if any is.
        """
        self._note_era(changes.revision, source)
        for item in changes.items:
            self._take(item, source)
        self._upstream_log.flush()
        self.revision = max(self.revision, changes.revision)
        if complete_revision is not None:
            self._note_complete(complete_revision)

    def item(self, key: str) -> Item | None:
        """Return the item stored under a key, if any."""
        entry = self._entry_by_key.get(key)
        return entry.item if entry else None

    def keys_changed_since(self, serial: int) -> set[str] | None:
        """Return the keys of items that changed or were removed after ``serial``.

        Returns ``None`` if the change history does not reach back that far.
        """
        count = self.serial - serial
        if not 0 <= count <= len(self._changed_keys):
            return None
        newest = itertools.islice(reversed(self._changed_keys), count)
        return set(newest)

    def _take(self, item: Item, source: str) -> None:
        known = self._entry_by_key.get(item.key)
        if item.value is None:
            if known is not None and known.item.revision <= item.revision:
                self._note_missing(item.key, item.revision, source)
            return
        if not self._is_news(known, item, source):
            return
        self._grace_until_by_key.pop(item.key, None)
        if known is not None and is_restored(known.item, item):
            # Only the store's history changed, not what the item describes.
            self._put_entry(item, known.document)
            return
        previous = known.document if known else None
        try:
            document = self._decode(item)
        except PlatformDataInvalid as error:
            document = self._fallback_document(previous, item, source, error)
        else:
            if known is not None and is_older_table(document, previous):
                # Other nodes are sent what is in force.
                item = dataclasses.replace(known.item, revision=item.revision)
                document = previous
            if is_replaced(previous, document):
                if isinstance(previous, UpstreamRecord):
                    self.upstreams.note_restart(previous.id)
                self._withdraw(previous, source)
            self._adopt(document, item, source)
        self._put_entry(item, document)

    def _put_entry(self, item: Item, document: Document | None) -> None:
        self._entry_by_key[item.key] = _Entry(item, document)
        self._settle(item.key, item.revision)
        self._note_change(item.key)

    def _is_news(self, known: _Entry | None, item: Item, source: str) -> bool:
        """Whether an item is newer than what is known of its key."""
        if known is not None and item.revision <= known.item.revision:
            if known.item.value != item.value:
                self._log_passed_over(known.item, item, source)
            return False
        if known is None and self._is_removed_again(item):
            return False
        # A read that began before the removal still contains the entry.
        return item.revision > self._removed_revision_by_key.get(item.key, 0)

    def _is_removed_again(self, item: Item) -> bool:
        """Whether an item that a restored copy contains may only wait for its removal.

        It is accepted after the grace period, if nobody has removed it by then.
        """
        if self._clock() >= self._restoration_ends_at:
            return False
        return self._removed_value_by_key.get(item.key) == item.value

    def _log_passed_over(self, known: Item, item: Item, source: str) -> None:
        """Log an item that does not replace the known one, once a second at most."""
        now = self._clock()
        if now < self._passed_over_logged_at + LOG_INTERVAL_SECONDS:
            return
        self._passed_over_logged_at = now
        logs.event(
            _logger,
            "item_passed_over",
            key=item.key,
            revision=number_of(item.revision),
            known_revision=number_of(known.revision),
            era=era_of(item.revision),
            known_era=era_of(known.revision),
            source=source,
        )

    def _fallback_document(
        self,
        previous: Document | None,
        item: Item,
        source: str,
        error: PlatformDataInvalid,
    ) -> Document | None:
        """Return the document that stays in force instead of an item that is invalid.

        The last valid configuration stays in force. An upstream or member is removed,
        as only its current entry may describe it.
        """
        logs.event(
            _logger,
            "item_invalid",
            level=logging.WARNING,
            key=item.key,
            revision=number_of(item.revision),
            reason=error.message,
            source=source,
            remedy="rewrite the value of this key, or delete the key",
        )
        if isinstance(previous, RoutingTable):
            return previous
        self._withdraw(previous, source)
        return None

    def _note_change(self, key: str) -> None:
        """Count a change and wake all waiting tasks."""
        self.serial += 1
        self._changed_keys.append(key)
        self._wake()

    def _wake(self) -> None:
        self.updated.set()
        self.updated = asyncio.Event()

    def _adopt(self, document: Document | None, item: Item, source: str) -> None:
        match document:
            case RoutingTable():
                self._adopt_table(document, item, source)
            case UpstreamRecord():
                self._adopt_upstream(document, item, source)
            case Member():
                if document.name not in self.members_by_name:
                    self._member_log.joined(document.name, source)
                self.members_by_name[document.name] = document
            case Evacuation(hall):
                self.upstreams.evacuate(hall)
                logs.event(
                    _logger,
                    "hall_evacuated",
                    hall=hall,
                    revision=number_of(item.revision),
                    source=source,
                )
            case Quarantine(fingerprint, crashes):
                self._crashes.apply_stored(fingerprint, crashes)

    def _adopt_table(self, table: RoutingTable, item: Item, source: str) -> None:
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        logs.event(
            _logger,
            "configuration_adopted",
            version=table.version,
            revision=number_of(item.revision),
            era=era_of(item.revision),
            source=source,
        )

    def _adopt_upstream(self, record: UpstreamRecord, item: Item, source: str) -> None:
        change = self.upstreams.put(record)
        if change is not None:
            self._upstream_log.note(
                "upstream_" + change,
                record.id,
                address=record.address,
                service=record.service,
                revision=number_of(item.revision),
                source=source,
            )

    def _note_missing(self, key: str, revision: int, source: str) -> None:
        """Remove an entry, or keep it for the grace period after an outage."""
        self._settle(key, revision)
        entry = self._entry_by_key.get(key)
        if entry is None:
            return
        if len(self._removed_revision_by_key) >= MAX_REMOVED_KEYS:
            self._removed_revision_by_key.clear()
            self._removed_value_by_key.clear()
        self._removed_revision_by_key[key] = revision
        self._removed_value_by_key[key] = entry.item.value
        if not self._is_in_grace(key, entry):
            self._drop(key, entry, source)

    def _is_in_grace(self, key: str, entry: _Entry) -> bool:
        """Whether a missing entry is kept for now; starts its grace period if due."""
        now = self._clock()
        if now >= self._grace_ends_at:
            return False
        # A quarantine is removed, which has the nodes that know of it write it again.
        is_restoring = now < self._restoration_ends_at
        kept = UpstreamRecord | Member | Evacuation if is_restoring else UpstreamRecord
        if not isinstance(entry.document, kept):
            return False
        # Counted from the store's recovery, regardless of when the entry is missed.
        return now < self._grace_until_by_key.setdefault(key, self._grace_ends_at)

    def _drop(self, key: str, entry: _Entry, source: str) -> None:
        self._grace_until_by_key.pop(key, None)
        if isinstance(entry.document, RoutingTable):
            # The last configuration stays in force; operators never remove it.
            return
        self._withdraw(entry.document, source)
        del self._entry_by_key[key]
        self._note_change(key)

    def _withdraw(self, document: Document | None, source: str) -> None:
        """Undo the effects of a document that is no longer in force."""
        match document:
            case UpstreamRecord(id=upstream_id, address=address):
                if self.upstreams.remove(upstream_id):
                    self._upstream_log.note(
                        "upstream_gone", upstream_id, address=address, source=source
                    )
            case Member(name=name):
                self.members_by_name.pop(name, None)
                self._member_log.left(name, source)
            case Evacuation(hall):
                self.upstreams.end_evacuation(hall)
                logs.event(_logger, "hall_taken_back", hall=hall, source=source)
            case Quarantine(fingerprint):
                self._crashes.note_removed_from_store(fingerprint)

    def sweep(self) -> None:
        """Remove entries whose grace period is over, and flush the change logs."""
        now = self._clock()
        for key, until in list(self._grace_until_by_key.items()):
            if now >= until:
                self._drop(key, self._entry_by_key[key], "lapsed")
        self._upstream_log.flush()
        self._member_log.flush(members=len(self.members_by_name))


def _covers(snapshot: Snapshot, key: str) -> bool:
    """Whether a snapshot would have an item under a key if there were one."""
    if key <= snapshot.beyond:
        return False
    return snapshot.until is None or key <= snapshot.until
