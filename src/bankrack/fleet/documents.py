"""Decoded items of the store."""

import dataclasses
import typing as t

from bankrack.decisions.poison import Crash
from bankrack.fleet.store import Item
from bankrack.serving.routing import RoutingTable
from bankrack.serving.upstreams import UpstreamRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A live node.

    :param address: internal address, as ``ip:port``.
    :param link_mbps: rate of its link in Mbit/s; nodes with wide links lead.
    :param tunnel: ``ip:port`` at which it opens tunnels to upstreams; empty if it does
        not.
    """

    name: str
    address: str
    hall: str
    link_mbps: float = 0.0
    tunnel: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuation:
    """A hall whose upstreams take no new requests while the item exists."""

    hall: str


@dataclasses.dataclass(slots=True, frozen=True)
class Quarantine:
    """The upstreams that crashed while they served a request.

    :param fingerprint: of the request.
    """

    fingerprint: str
    crashes: list[Crash]


Document = RoutingTable | UpstreamRecord | Member | Evacuation | Quarantine


class Decoder(t.Protocol):
    """Decodes items of the store.

    Raises :exc:`bankrack.exceptions.PlatformDataInvalid`; returns ``None`` for keys
    that nodes do not follow.
    """

    def __call__(self, item: Item) -> Document | None:
        """Decode an item that has a value."""
        ...
