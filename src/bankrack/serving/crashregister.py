"""Register of upstream crashes, by the traits of the requests running at the time.

It merges the observations of all nodes and derives which traits are in quarantine.
"""

import asyncio
import collections
import dataclasses
import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions import poison
from bankrack.decisions.poison import Crash
from bankrack.decisions.poison import crash_key
from bankrack.decisions.poison import CrashKey
from bankrack.decisions.poison import is_poison
from bankrack.decisions.poison import merge
from bankrack.serving.servedtraits import ServedTraits
from bankrack.serving.traits import is_part

RETENTION_SECONDS = 600.0
"""Retention period of crashes, also the lease time of a quarantine in the store.  A
trait may run again after it."""
RETEST_SECONDS = 300.0
"""Time since its last crash after which one request with a quarantined trait is sent,
to find out whether the upstreams' fault is fixed."""
RETEST_STEP_SECONDS = 2.0
"""Further time for each node of a lower rank, longer than a run takes to crash."""
MAX_HISTORIES = 4096
"""Bounds the traits with recorded crashes; a crash adds a few dozen at most."""
MAX_CRASHES = 16
"""Bounds the crashes recorded for one trait, well above the quarantine limit."""
MAX_REQUESTS_BY_UPSTREAM = 3
"""Bounds the requests recorded for one trait at one crash."""
MAX_CRASHED_UPSTREAMS = 512
"""Bounds the recorded upstreams, to hold those of a hall that fails as a whole."""
STORE = "store"
"""Source of crash reports that may be minutes old."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _History:
    """Crashes during which one trait was active.

    :ivar retested_at: time of this node's last retest.
    :ivar retest: fingerprint of the request that may run as a retest.
    """

    changed_at: float
    crash_by_key: dict[CrashKey, Crash]
    retested_at: float = 0.0
    retest: str = ""

    @property
    def crashes(self) -> list[Crash]:
        return list(self.crash_by_key.values())


class CrashRegister:
    """Crashes of upstreams, by the traits of the requests running on them.

    Reports of several nodes may arrive in any order and more than once.

    :ivar has_updates: set while this node has updates to send to other nodes.
    :ivar updates_sent: set once the pending updates were sent; replaced for each batch.
    :ivar rank: returns this node's position among those that may retest a trait.
    """

    def __init__(self, *, clock: t.Callable[[], float] = boottime) -> None:
        self.has_updates = asyncio.Event()
        self.updates_sent = asyncio.Event()
        self.rank: t.Callable[[str], int] = lambda trait: 0
        self._clock = clock
        self._history_by_trait: collections.OrderedDict[str, _History] = (
            collections.OrderedDict()
        )
        self._parts_by_upstream: dict[str, set[str]] = {}
        self._served = ServedTraits(clock=clock)
        self._crashed_at_by_upstream: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._pending: set[str] = set()
        self._poison: set[str] = set()
        self._poison_in_store: set[str] = set()

    # Queries

    def may_run_on(
        self, fingerprint: str, software: str, *, parts: t.Collection[str] = ()
    ) -> bool:
        """Whether a request may be sent to an upstream with this software version."""
        return self.blamed(fingerprint, software, parts=parts) is None

    def blamed(
        self, fingerprint: str, software: str, *, parts: t.Collection[str] = ()
    ) -> str | None:
        """Return the trait that forbids a request on this software version, if any."""
        for trait in (fingerprint, *parts):
            history = self._history_by_trait.get(trait)
            if history is None or history.retest == fingerprint:
                continue
            if poison.may_run_on(software, history.crashes):
                continue
            related = self._related(trait, history)
            if not poison.is_blamed(trait, related):
                continue
            if not is_part(trait) or poison.companions(trait, related) <= set(parts):
                return trait
        return None

    def _related(self, trait: str, history: _History) -> dict[str, list[Crash]]:
        """Return the crashes of a trait, and of parts active at the same crashes."""
        names = {trait}
        for crash in history.crashes:
            names |= self._parts_by_upstream.get(crash.upstream, set())
        return {name: self.crashes(name) for name in names}

    def is_suspect(self, trait: str) -> bool:
        """Whether a trait may have caused a crash."""
        return any(not crash.cleared for crash in self.crashes(trait))

    def quarantined(self) -> list[str]:
        """Return the traits in quarantine, sorted."""
        self._evict()
        known = self._history_by_trait
        return sorted(
            trait
            for trait in self._poison
            if poison.is_blamed(trait, self._related(trait, known[trait]))
        )

    def crashes(self, trait: str) -> list[Crash]:
        """Return the crashes during which a trait was active."""
        history = self._history_by_trait.get(trait)
        return history.crashes if history else []

    def crashed_since(self, moment: float) -> list[str]:
        """Return the upstreams that crashed after ``moment``, in boot-time seconds."""
        crashed = self._crashed_at_by_upstream
        return [upstream for upstream, at in crashed.items() if at > moment]

    def unsaved(self) -> list[str]:
        """Return the traits whose quarantine state differs from the store's."""
        self._evict()
        known = self._history_by_trait
        return [
            trait for trait in self._poison ^ self._poison_in_store if trait in known
        ]

    # Commands

    def take_retest(self, trait: str, fingerprint: str) -> bool:
        """Let one request run although it has a quarantined trait, if that is due."""
        history = self._history_by_trait.get(trait)
        if history is None:
            return False
        now = self._clock()
        due_at = max(history.changed_at, history.retested_at) + RETEST_SECONDS
        if now < due_at or now < due_at + RETEST_STEP_SECONDS * self.rank(trait):
            return False
        history.retested_at = now
        history.retest = fingerprint
        logs.event(_logger, "trait_retested", fingerprint=trait, request=fingerprint)
        return True

    def note_crash(self, trait: str, crash: Crash) -> bool:
        """Record a crash seen by this node; returns whether other nodes need an update.

        A crash just after the same software version got past the trait is recorded as
        cleared, as a frequent trait is likely to be active during any crash.
        """
        if self._served.clears(trait, crash.software):
            crash = dataclasses.replace(crash, cleared=True)
        if not self.take(trait, [crash], source="own"):
            return False
        self._add_update(trait)
        return True

    def note_served(self, trait: str, software: str) -> None:
        """Record that an upstream got past a trait without a crash.

        For a fingerprint it served the whole request, for a part it sent an event.
        """
        self._served.add(trait, software)
        cleared = [
            dataclasses.replace(crash, cleared=True)
            for crash in self.crashes(trait)
            if crash.software == software and not crash.cleared
        ]
        if cleared and self.take(trait, cleared, source="served"):
            self._add_update(trait)

    def object_to(self, trait: str, crashes: t.Iterable[Crash]) -> list[Crash]:
        """Clear crashes of a part that upstreams got past at this node just before.

        Returns the cleared crashes, for the node that reported them.
        """
        if not is_part(trait):
            return []
        cleared = [
            dataclasses.replace(crash, cleared=True)
            for crash in crashes
            if not crash.cleared and self._served.clears(trait, crash.software)
        ]
        if cleared:
            self.take(trait, cleared, source="served")
        return cleared

    def take_objection(
        self, trait: str, crashes: t.Iterable[Crash], *, source: str
    ) -> None:
        """Apply another node's objection to a report of this node."""
        if self.take(trait, crashes, source=source):
            self._add_update(trait)

    def take(self, trait: str, crashes: t.Iterable[Crash], *, source: str) -> bool:
        """Merge reported crashes; returns whether anything changed.

        :param source: origin of the report, for the log.
        """
        before = self.crashes(trait)
        now = self._clock()
        history = self._history_by_trait.get(trait) or _History(now, {})
        known_keys = set(history.crash_by_key)
        for crash in crashes:
            if source != STORE:
                self._note_crashed(crash.upstream, now)
            _add(history, crash)
        after = history.crashes
        if after == before:
            return False
        history.changed_at = now
        history.retest = ""
        self._history_by_trait[trait] = history
        self._history_by_trait.move_to_end(trait)
        if is_part(trait):
            for crash in after:
                self._parts_by_upstream.setdefault(crash.upstream, set()).add(trait)
        if history.crash_by_key.keys() - known_keys:
            self._served.note_crash(trait)
        if is_poison(after):
            self._poison.add(trait)
        else:
            self._poison.discard(trait)
        _log_change(trait, before, after, source)
        self._evict()
        return True

    def _note_crashed(self, upstream: str, now: float) -> None:
        crashed = self._crashed_at_by_upstream
        crashed.setdefault(upstream, now)
        if len(crashed) > MAX_CRASHED_UPSTREAMS:
            crashed.popitem(last=False)

    def apply_stored(self, trait: str, crashes: t.Collection[Crash]) -> None:
        """Merge the crashes that the store holds for a trait."""
        if is_poison(crashes):
            self._poison_in_store.add(trait)
        else:
            self._poison_in_store.discard(trait)
        self.take(trait, crashes, source=STORE)

    def note_removed_from_store(self, trait: str) -> None:
        """Record that the store has no entry for a trait any more."""
        self._poison_in_store.discard(trait)

    def take_updates(self) -> dict[str, list[Crash]]:
        """Remove and return the updates for other nodes, by trait."""
        updates = {trait: self.crashes(trait) for trait in self._pending}
        self._pending.clear()
        self.has_updates.clear()
        self.updates_sent = asyncio.Event()
        return updates

    def _add_update(self, trait: str) -> None:
        self._pending.add(trait)
        self.has_updates.set()

    def _evict(self) -> None:
        """Evict expired histories, and the oldest ones above the bound."""
        histories = self._history_by_trait
        expired_before = self._clock() - RETENTION_SECONDS
        while histories:
            trait, oldest = next(iter(histories.items()))
            if len(histories) <= MAX_HISTORIES and oldest.changed_at > expired_before:
                return
            del histories[trait]
            self._poison.discard(trait)
            self._pending.discard(trait)
            for crash in oldest.crashes:
                self._forget_part(trait, crash.upstream)

    def _forget_part(self, trait: str, upstream: str) -> None:
        parts = self._parts_by_upstream.get(upstream)
        if parts is not None:
            parts.discard(trait)
            if not parts:
                del self._parts_by_upstream[upstream]


def _add(history: _History, crash: Crash) -> None:
    """Merge a crash into a history, within its bounds."""
    by_key = history.crash_by_key
    key = crash_key(crash)
    known = by_key.get(key)
    if known is not None:
        by_key[key] = merge(known, crash)
        return
    if sum(k.upstream == crash.upstream for k in by_key) >= MAX_REQUESTS_BY_UPSTREAM:
        return
    if len(by_key) >= MAX_CRASHES:
        _drop_oldest_cleared(by_key)
    if len(by_key) < MAX_CRASHES:
        by_key[key] = crash


def _drop_oldest_cleared(by_key: dict[CrashKey, Crash]) -> None:
    """Make room in a history: a frequent trait is cleared of many crashes."""
    for key, crash in by_key.items():
        if crash.cleared:
            del by_key[key]
            return


def _log_change(
    trait: str, before: t.Collection[Crash], after: t.Collection[Crash], source: str
) -> None:
    was_poison, is_now = is_poison(before), is_poison(after)
    name = "crash_noted"
    if was_poison != is_now:
        name = "request_quarantined" if is_now else "quarantine_ended"
    logs.event(
        _logger,
        name,
        fingerprint=trait,
        upstreams=",".join(crash.upstream for crash in after),
        early=sum(crash.early for crash in after),
        cleared=sum(crash.cleared for crash in after),
        source=source,
    )
