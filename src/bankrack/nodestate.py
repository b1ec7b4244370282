"""Snapshot of a gateway's state, for its metrics and its state dump."""

import dataclasses
import typing as t

from bankrack.clock import boottime
from bankrack.serving.upstreams import Upstream


@dataclasses.dataclass(slots=True, frozen=True)
class NodeState:
    """A snapshot of one gateway's state.

    :param version: version of the current configuration, ``None`` before the first.
    :param view_age: seconds since the view was last confirmed, by any source.
    :param configuration_age: seconds since the configuration was last known to be the
        newest; larger than ``view_age`` while a newer one is on its way.
    :param store_age: seconds since the store itself last confirmed the view.
    :param keeps_ledgers: whether this node owns the first pool and keeps its ledgers.
    :param quarantined: fingerprints of the quarantined requests.
    :param held: account of the bytes held for callers and upstreams.
    :param pool_gauges: values of the gauges of the pools that this node owns, by name.
    :param details: returns further parts of the state dump, which are not needed as
        often as the gauges.
    """

    node: str
    ready: bool
    version: int | None
    view_age: float
    configuration_age: float
    store_age: float
    revision: int
    store_era: int
    in_flight: int
    members: list[str]
    upstreams: list[Upstream]
    keeps_ledgers: bool
    quarantined: list[str]
    held: dict[str, t.Any]
    pool_gauges: dict[str, float]
    details: t.Callable[[], dict[str, t.Any]]

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauges by name."""
        now = boottime()
        return {
            "ready": float(self.ready),
            "version": float(self.version or 0),
            "view_age_seconds": self.view_age,
            "configuration_age_seconds": self.configuration_age,
            "members": float(len(self.members)),
            "upstreams": float(len(self.upstreams)),
            "in_flight": float(self.in_flight),
            "keeps_ledgers": float(self.keeps_ledgers),
            "quarantined": float(len(self.quarantined)),
            "backing_off": float(sum(u.backing_off(now) for u in self.upstreams)),
            "leaving": float(sum(u.leaving for u in self.upstreams)),
            "excluded": float(sum(u.excluded(now) for u in self.upstreams)),
            "unread_bytes": float(self.held["unread_bytes"]),
            "slow_callers": float(len(self.held["slow_callers"])),
            "body_bytes": float(self.held["body_bytes"]),
            **self.pool_gauges,
        }

    def describe(self) -> dict[str, t.Any]:
        """Return the state dump as JSON-serializable data."""
        return {
            "node": self.node,
            "ready": self.ready,
            "version": self.version,
            "view_age": self.view_age,
            "configuration_age": self.configuration_age,
            "store_age": self.store_age,
            "revision": self.revision,
            "store_era": self.store_era,
            "in_flight": self.in_flight,
            "members": sorted(self.members),
            "quarantined": self.quarantined,
            **self.held,
            **self.details(),
            "upstreams": [upstream.describe() for upstream in self.upstreams],
        }
