"""Composition of the updates that nodes exchange about upstreams and requests."""

import typing as t

from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.crashupdates import CRASHES_PATH
from bankrack.fleet.crashupdates import CrashUpdates
from bankrack.fleet.documents import Member
from bankrack.fleet.leavingupdates import LEAVING_PATH
from bankrack.fleet.leavingupdates import LeavingUpdates
from bankrack.fleet.outlierupdates import OUTLIERS_PATH
from bankrack.fleet.outlierupdates import OutlierUpdates
from bankrack.fleet.store import Store
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.relay import RelayDependencies


class FleetUpdates:
    """Updates that are sent to all members at once.

    :param members: returns the live members, with or without this node.
    :param view_age: returns the seconds since the store confirmed this node's view.
    :ivar tasks: coroutine functions that run until cancelled.
    """

    def __init__(
        self,
        broadcast: Broadcast,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        store: Store,
        notices: NoticeHandler,
        dependencies: RelayDependencies,
        *,
        view_age: t.Callable[[], float],
    ) -> None:
        crashes = dependencies.crashes.register
        leaving_updates = LeavingUpdates(broadcast, notices, dependencies.upstreams)
        crash_updates = CrashUpdates(
            broadcast, own, members, crashes, store, view_age=view_age
        )
        outlier_updates = OutlierUpdates(broadcast, own, dependencies.outliers)
        self.handler_by_path = {
            LEAVING_PATH: leaving_updates.handle,
            CRASHES_PATH: crash_updates.handle,
            OUTLIERS_PATH: outlier_updates.handle,
        }
        self.tasks = (
            leaving_updates.run,
            crash_updates.run,
            crash_updates.keep_saving,
            outlier_updates.run,
        )
