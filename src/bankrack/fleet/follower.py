"""Keeps the view current, from the store or from the node that is followed.

A watch delivers changes at once but can stop without any error, so readers of the store
also read the whole state periodically. All other nodes follow a reader, and read the
store themselves if their leaders fail or have a stale view, or once their own view is
so old that a change might not be in force in time.
"""

import asyncio
import contextlib
import dataclasses
import logging
import math
import random

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.storeoutage import leaves_reads_to_others
from bankrack.decisions.storeoutage import may_have_lapsed
from bankrack.decisions.storeoutage import SEEN_OUTAGE_SECONDS
from bankrack.decisions.storeoutage import turn_seconds
from bankrack.exceptions import HistoryCompacted
from bankrack.exceptions import PeerUnavailable
from bankrack.exceptions import PlatformUnavailable
from bankrack.exceptions import ReadSuperseded
from bankrack.fleet.documents import Member
from bankrack.fleet.firstview import FirstView
from bankrack.fleet.firstview import read_backoff_seconds
from bankrack.fleet.leaderqueries import LeaderQueries
from bankrack.fleet.leaderqueries import SILENT_SECONDS
from bankrack.fleet.peers import LeaderClient
from bankrack.fleet.roster import Roster
from bankrack.fleet.store import Item
from bankrack.fleet.store import number_of
from bankrack.fleet.store import ReadProgress
from bankrack.fleet.store import Snapshot
from bankrack.fleet.store import Store
from bankrack.fleet.view import View
from bankrack.utils import backoff_seconds

READ_INTERVAL_SECONDS = 0.8
"""Age of the reader's view at the end of the next read, so far as reads are short
enough. A change must be in force within 2 s even if the watch is silent and the reader
is partitioned next."""
MIN_READ_PAUSE_SECONDS = 0.1
WATCH_TIMEOUT_SECONDS = 10.0
"""Longest wait of one watch; each return costs another call."""
WATCH_INTERVAL_SECONDS = 0.03
"""Pause between watches, so that simultaneous changes are fetched together."""
MEMBERS_INTERVAL_SECONDS = 8.0
"""Pause between reads of the members. The watch reports members too, and a stale list
only makes nodes read or retry slightly too often or too rarely."""
READ_TIMEOUT_SECONDS = 0.4
"""Initial timeout of a read; doubled after each failure."""
MAX_READ_TIMEOUT_SECONDS = 2.0
MAX_READ_SECONDS = 5.0
"""Time after which a read that failed midway starts again from its first page."""
RETRY_SECONDS = 0.1
STANDBY_TIMEOUT_SECONDS = 0.5
"""Longest wait of a reader that the store turned away for another node's view."""
SLOW_RETRY_SECONDS = 2.0
MAX_SLOW_RETRY_SECONDS = 4.0
"""Bound of the pause between reads of a node that is not a reader while the store is
unavailable, to limit the load of a large fleet. Such a node queries the readers."""
RECENT_FAILURE_SECONDS = 1.0
"""Time after a failed read in which confirmations are refused without another read."""
STALE_SUSPICION_SECONDS = 0.5
"""Time for which a leader with a stale view is skipped. It is short, as a reader is the
first to learn that the store is available again."""
MAX_LEADER_AGE_FOR_STANDBY_SECONDS = 1.2
"""Age of a leader's view, and of its own, in seconds, above which a standby reads the
store itself."""
MAX_LEADER_AGE_SECONDS = 1.5
"""The same bound for other nodes, which leave the first attempt to the standbys. A
change must be in force within 2 s, and the read itself takes time."""
SETTLE_SECONDS = 1.0
"""Time for nodes that start simultaneously to discover each other."""
CONFIRM_TIMEOUT_SECONDS = 0.8
"""Longest wait for a confirmation of the view before a request is denied."""

_logger = logging.getLogger(__name__)


class Follower:
    """Keeps the view of this node current.

    :ivar leader: name of the node that is followed; ``None`` while reading the store.
    :ivar store_reachable: whether the last read of the store succeeded.
    :ivar store_confirmed_at: time of the last successful read; 0 before the first one.
    """

    def __init__(
        self, store: Store, view: View, roster: Roster, leaders: LeaderClient
    ) -> None:
        self._store = store
        self._view = view
        self._roster = roster
        self._leaders = leaders
        self._read_timeout = READ_TIMEOUT_SECONDS
        self.store_reachable = True
        self._read_task: asyncio.Task[bool] | None = None
        self._progress = ReadProgress(-math.inf)
        self._first_view = FirstView(view, roster, leaders)
        self._first_attempt_done = asyncio.Event()
        self._members_due = 0.0
        self._own_read_due = 0.0
        self._turn_drawn_for = 0.0
        self._own_failures = 0
        self._failed_at = -math.inf
        self._logged_leader: str | None = ""
        self._queries = LeaderQueries(self._query, self._heard_at)
        self.store_confirmed_at = 0.0
        self._contact_at = -math.inf
        self.leader: str | None = None
        self._stale_leaders: set[str] = set()

    @property
    def store_age(self) -> float:
        """Seconds since the store itself last confirmed the view."""
        return boottime() - self.store_confirmed_at

    @property
    def contact_age(self) -> float:
        """Seconds since the store or a leader last answered this node."""
        return boottime() - self._contact_at

    async def run(self) -> None:
        """Keep the view current until cancelled."""
        bounding: asyncio.Task[None] | None = None
        try:
            await self._get_first_view()
            bounding = asyncio.create_task(self._bound_age())
            await self._follow()
        finally:
            if bounding is not None:
                bounding.cancel()
            if self._read_task is not None:
                self._read_task.cancel()
            await self._queries.cancel()

    async def _follow(self) -> None:
        """Follow a leader, or read the store while there is none."""
        while True:
            leaders = self._roster.leaders()
            if not leaders:
                self.leader = None
                await self._read_until_leader_found()
                continue
            self.leader = self.leader or leaders[0].name
            is_old = self._view.age > self._max_leader_age()
            await self._queries.wait_for_any(leaders, in_haste=is_old)

    async def _query(self, leader: Member) -> bool:
        """Ask a leader once and judge its answer; returns whether there was one."""
        try:
            age = await self._leaders.ask(leader)
        except PeerUnavailable as error:
            logs.event(
                _logger, "leader_lost", reason=error.message, view_age=self._view.age
            )
            self._roster.suspect(leader)
            return False
        self._contact_at = boottime()
        self._draw_turn()
        if age <= self._max_leader_age():
            self._stale_leaders.discard(leader.name)
            self._own_failures = 0
            self.leader = leader.name
            self._log_leader(leader.name)
        else:
            self._note_stale(leader.name, age)
            self._roster.suspect(leader, seconds=STALE_SUSPICION_SECONDS)
        return True

    def _heard_at(self, name: str) -> float:
        return self._leaders.heard_at_by_name.get(name, 0.0)

    async def _bound_age(self) -> None:
        """Read the store whenever no leader confirms the view in time.

        The age of the view must not grow with the number of leaders that are silent one
        after the other.
        """
        failures = 0
        while True:
            left = self._max_unconfirmed_age() - self._view.age
            if left > 0.0 or not self._reads_beside_leaders():
                await asyncio.sleep(max(left, MIN_READ_PAUSE_SECONDS))
                continue
            told = self._view.outage.told
            logs.event(
                _logger,
                "view_read_beside_leaders",
                age=self._view.age,
                leader=self.leader,
                contact_age=self.contact_age,
                told_of_outage=told,
            )
            if await self.read():
                failures = 0
                continue
            if told:
                self._postpone_own_read()
            if self.goes_by_outage:
                continue
            failures += 1
            await asyncio.sleep(
                backoff_seconds(
                    failures, first=RETRY_SECONDS, maximum=MAX_SLOW_RETRY_SECONDS
                )
            )

    def _reads_beside_leaders(self) -> bool:
        """Whether this node reads the store although it follows a leader.

        It does not while it goes by an outage, nor while a leader sends a large
        update, with which a read would share a narrow link.
        """
        if self.leader is None or self.goes_by_outage:
            return False
        heard_at = max(self._leaders.heard_at_by_name.values(), default=0.0)
        receives = heard_at > max(self._contact_at, boottime() - SILENT_SECONDS)
        return not receives

    @property
    def goes_by_outage(self) -> bool:
        """Whether this node leaves the store, which is said to fail, to other nodes."""
        return leaves_reads_to_others(
            self._view.outage,
            has_turn=boottime() >= self._own_read_due,
            contact_age=self.contact_age,
        )

    def _draw_turn(self) -> None:
        """Choose when to read a store of whose outage this node was told, once."""
        view = self._view
        if not view.outage.told or self._turn_drawn_for == view.confirmed_at:
            return
        self._turn_drawn_for = view.confirmed_at
        seconds = turn_seconds(
            followed=self._roster.is_standby(),
            members=self._roster.count(),
            draw=random.random(),
        )
        due = view.confirmed_at + self._max_leader_age() + seconds
        self._own_read_due = max(self._own_read_due, due)

    async def keep_sweeping(self) -> None:
        """Remove entries whose grace period is over, until cancelled."""
        while True:
            await asyncio.sleep(RETRY_SECONDS)
            self._view.sweep()

    async def confirm(self, *, within: float, newest: bool = False) -> bool:
        """Ensure that the view was current at most ``within`` seconds ago.

        Returns whether it was. Concurrent calls share one read.

        :param newest: also wait for a newer value that is known and not here yet.
        """
        view = self._view
        now = boottime()

        def is_confirmed() -> bool:
            if newest and view.pending.by_key:
                return False
            return view.current_at >= now - within

        if is_confirmed():
            return True
        has_failed = now < self._failed_at + RECENT_FAILURE_SECONDS
        if has_failed and view.confirmed_at and not view.pending.by_key:
            return False
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                while not is_confirmed():
                    if view.pending.by_key:
                        await view.updated.wait()
                    elif not await self._read_or_hear():
                        break
        except TimeoutError:
            logs.event(
                _logger,
                "confirmation_timed_out",
                age=view.age,
                pending=len(view.pending.by_key),
            )
        return is_confirmed()

    async def _read_or_hear(self) -> bool:
        """Wait for a read of the store or for an update of the leader.

        Returns ``False`` if the read failed.
        """
        reading = asyncio.create_task(self.read())
        hearing = asyncio.create_task(self._view.updated.wait())
        try:
            await asyncio.wait({reading, hearing}, return_when=asyncio.FIRST_COMPLETED)
            return not reading.done() or reading.result()
        finally:
            reading.cancel()
            hearing.cancel()

    async def wait_for_first_attempt(self, seconds: float) -> None:
        """Wait until the first read or query since the start succeeded or failed.

        :param seconds: longest wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._first_attempt_done.wait()

    async def _get_first_view(self) -> None:
        """Obtain a first view, from the store or from any node that has one."""
        first = self._first_view
        await first.obtain(self.read, on_failure=self._first_attempt_done.set)
        self._first_attempt_done.set()
        self._abandon_first_read()
        if not self.store_confirmed_at:
            return
        await asyncio.sleep(SETTLE_SECONDS)
        # A reader reads the members again and relays them to its followers.
        self._members_due = 0.0

    def _abandon_first_read(self) -> None:
        """End a read of the whole state that a node's view made needless."""
        if self._read_task is not None and not self.store_confirmed_at:
            self._read_task.cancel()
            self._read_task = None

    async def _read_until_leader_found(self) -> None:
        """Read the store until there is a node to follow.

        Only the reader that others follow also watches the store; each change costs a
        call.
        """
        beside = [
            asyncio.create_task(self._watch_while_reader()),
            asyncio.create_task(self._keep_reading_briefly()),
        ]
        failures = 0
        try:
            while not self._roster.leaders():
                if self._defers_to_readers():
                    await asyncio.sleep(RETRY_SECONDS)
                    continue
                began = boottime()
                if await self.read():
                    failures = 0
                    self._log_leader(None)
                    await asyncio.sleep(_pause_seconds(boottime() - began))
                    continue
                failures += 1
                self._postpone_own_read()
                await asyncio.gather(self._ask_standby(), self._back_off(failures))
        finally:
            for task in beside:
                task.cancel()
            await asyncio.gather(*beside, return_exceptions=True)

    async def _ask_standby(self) -> None:
        """Ask the node that would read next, which the store may not turn away."""
        standby = self._roster.standby()
        if standby is None:
            return
        try:
            async with asyncio.timeout(STANDBY_TIMEOUT_SECONDS):
                await self._leaders.ask(standby)
        except (PeerUnavailable, TimeoutError):
            self._roster.suspect(standby)

    async def _back_off(self, failures: int) -> None:
        await asyncio.sleep(read_backoff_seconds(failures))

    def _defers_to_readers(self) -> bool:
        """Whether this node is not a reader and leaves the next read to the readers."""
        if self._roster.is_reader() or self._view.table is None:
            return False
        return self._view.in_outage and boottime() < self._own_read_due

    def _postpone_own_read(self) -> None:
        """Leave the store to other nodes for a while, as it failed this one.

        The jitter only shortens the time, so that the end of an outage is noticed.
        """
        maximum = (
            SLOW_RETRY_SECONDS if self._roster.is_standby() else MAX_SLOW_RETRY_SECONDS
        )
        delay = backoff_seconds(
            self._own_failures, first=SLOW_RETRY_SECONDS, maximum=maximum
        )
        self._own_failures += 1
        self._own_read_due = boottime() + delay * (0.5 + 0.5 * random.random())

    async def _watch_while_reader(self) -> None:
        """Apply changes that the watch delivers while this node is a reader."""
        failures = 0
        while True:
            if not self._roster.is_reader():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            since = self._view.complete_revision
            try:
                changes = await self._store.watch(since, wait=WATCH_TIMEOUT_SECONDS)
            except HistoryCompacted:
                logs.event(_logger, "history_forgotten", revision=number_of(since))
                # Members changed since this revision are not reported any more.
                self._members_due = 0.0
                await self.read()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            except PlatformUnavailable:
                self._view.note_store_failure()
                failures += 1
                await self._back_off(failures)
                continue
            failures = 0
            self._note_store_answer()
            self._view.apply_changes(
                changes, source="watch", complete_revision=changes.revision
            )
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

    async def _keep_reading_briefly(self) -> None:
        """Confirm all but a large first value while this node is the reader.

        When that changes, a read takes long over a narrow link, and the age of all
        other items, by which followers judge this node, must not wait for it.
        """
        while True:
            await asyncio.sleep(MIN_READ_PAUSE_SECONDS)
            beyond = self._view.large_first_key()
            is_due = self._view.age > READ_INTERVAL_SECONDS
            if beyond and is_due and self._roster.is_reader():
                await self._read_briefly(beyond)

    async def _read_briefly(self, beyond: str) -> None:
        """Read the items beyond a key once."""
        progress = ReadProgress(boottime(), beyond=beyond)
        try:
            snapshot = await self._store.read(
                members=False, timeout=self._read_timeout, progress=progress
            )
        except PlatformUnavailable as error:
            logs.event(_logger, "brief_read_failed", reason=error.message)
            return
        self._note_store_answer()
        self._view.confirm(snapshot, asked_at=progress.began, source="store")

    async def read(self) -> bool:
        """Read the store once, and return whether that succeeded.

        Concurrent callers share one read, which goes on if one of them is cancelled.
        """
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._read_store())
        task = self._read_task
        await asyncio.wait({task})
        return not task.cancelled() and task.result()

    async def _read_store(self) -> bool:
        sent_at = boottime()
        members = sent_at > self._members_due
        held = self._view.item(self._view.large_first_key())
        try:
            began, snapshot = await self._read_changes(held, sent_at, members=members)
        except ReadSuperseded:
            return False
        except PlatformUnavailable as error:
            self._failed_at = boottime()
            self._view.note_store_failure()
            self._read_timeout = min(MAX_READ_TIMEOUT_SECONDS, 2 * self._read_timeout)
            if self.store_reachable:
                self.store_reachable = False
                logs.event(
                    _logger,
                    "store_lost",
                    reason=error.message,
                    pages=len(self._progress.revisions),
                )
            return False
        self._progress = ReadProgress(-math.inf)
        self._own_failures = 0
        self._read_timeout = READ_TIMEOUT_SECONDS
        if snapshot.until is None:
            self._members_due = began + MEMBERS_INTERVAL_SECONDS
        self._note_store_answer()
        if not self.store_reachable:
            self.store_reachable = True
            outage = self.store_age if self.store_confirmed_at else None
            logs.event(_logger, "store_regained", away=outage)
        self.store_confirmed_at = began
        self._view.confirm(snapshot, asked_at=began, source="store")
        return True

    async def _read_changes(
        self, held: Item | None, sent_at: float, *, members: bool
    ) -> tuple[float, Snapshot]:
        """Read the state without a large value that is known, if possible.

        Returns it with the time from which on it was current.
        """
        if held is not None:
            snapshot = await self._read_around(held, began=sent_at, members=members)
            if snapshot is not None:
                return sent_at, snapshot
        return await self._read_pages(sent_at, members=members)

    async def _read_pages(
        self, sent_at: float, *, members: bool
    ) -> tuple[float, Snapshot]:
        """Read everything, from where a read that failed midway ended.

        Returns it with the time at which its first page was requested.
        """
        progress = self._progress
        if not progress.revisions or progress.began < sent_at - MAX_READ_SECONDS:
            progress = self._progress = ReadProgress(sent_at)
        snapshot = await self._store.read(
            members=members,
            timeout=self._read_timeout,
            progress=progress,
            before_next_page=(
                self._first_view.let_seeds_answer if self._view.table is None else None
            ),
        )
        return progress.began, snapshot

    async def _read_around(
        self, held: Item, *, began: float, members: bool
    ) -> Snapshot | None:
        """Read everything but a large value, and that one only if it changed.

        Read each time, it would fill a narrow link, on which callers connect as well.
        Returns ``None`` if the store does not compare revisions now, as it is a write.
        """
        progress = ReadProgress(began, beyond=held.key)
        snapshot = await self._store.read(
            members=members, timeout=self._read_timeout, progress=progress
        )
        try:
            newest = await self._store.newest(held, timeout=self._read_timeout)
        except PlatformUnavailable as error:
            logs.event(_logger, "value_not_compared", reason=error.message)
            return None
        return dataclasses.replace(snapshot, items=(newest, *snapshot.items), beyond="")

    def _note_store_answer(self) -> None:
        """Note contact; start the grace period if this answer ends an outage.

        Called before the answer is applied: entries whose leases expired during the
        outage will be restored and must not count as removed. The watch may deliver
        their removal before the first read does. An old view alone is no sign of an
        outage: the leaders may have been cut off from this node, or from the store
        alone, and what is missing then was removed.
        """
        view = self._view
        self._contact_at = boottime()
        if view.age <= SEEN_OUTAGE_SECONDS or not view.confirmed_at:
            return
        begins_grace = may_have_lapsed(view.outage, view_age=view.age)
        logs.event(
            _logger,
            "stale_view_ended",
            age=view.age,
            outage=view.in_outage,
            seen=view.outage.seen,
            grace=begins_grace,
        )
        if begins_grace:
            view.note_store_recovery()

    def _max_unconfirmed_age(self) -> float:
        """Return the age of this node's view, in seconds, above which it is read.

        Nobody is waited for while all leaders are known to be silent.
        """
        if self._queries.all_silent:
            return READ_INTERVAL_SECONDS
        return self._max_leader_age()

    def _max_leader_age(self) -> float:
        """Return the age of a leader's view, in seconds, above which it is skipped."""
        return (
            MAX_LEADER_AGE_FOR_STANDBY_SECONDS
            if self._roster.is_standby()
            else MAX_LEADER_AGE_SECONDS
        )

    def _note_stale(self, name: str, age: float) -> None:
        """Log a leader with a stale view once, not on each query.

        During an outage, a node that is not a standby waits for its turn to read, to
        let the readers try first. Otherwise its leaders are cut off, and it reads at
        once.
        """
        if name not in self._stale_leaders:
            self._stale_leaders.add(name)
            logs.event(
                _logger,
                "leader_stale",
                leader=name,
                age=age,
                outage=self._view.in_outage,
            )

    def _log_leader(self, name: str | None) -> None:
        """Log the source of this node's view once it is in effect.

        During an outage of the store the candidate changes often, without effect.
        """
        if name != self._logged_leader:
            self._logged_leader = name
            logs.event(_logger, "leader_chosen", leader=name or "self")


def _pause_seconds(elapsed: float) -> float:
    """Return the pause between two reads.

    A view is as old as its read when that ends, and two reads older before the next one
    ends. Readers with narrow links, whose reads take long, pause less.

    :param elapsed: duration of the last read in seconds.
    """
    return max(MIN_READ_PAUSE_SECONDS, READ_INTERVAL_SECONDS - 2 * elapsed)
