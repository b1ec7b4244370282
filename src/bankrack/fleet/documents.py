"""What the items of the store say, once decoded."""

import dataclasses
import typing as t

from bankrack.decisions.poison import Crash
from bankrack.fleet.store import Item
from bankrack.serving.routing import RoutingTable
from bankrack.serving.upstreams import UpstreamRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A node that lives.

    :param address: where it answers its peers, as ``ip:port``.
    :param link_mbps: rate of its link; leaders need a wide one.
    """

    name: str
    address: str
    hall: str
    link_mbps: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuation:
    """A hall whose upstreams take nothing new for as long as the item is there."""

    hall: str


@dataclasses.dataclass(slots=True, frozen=True)
class Quarantine:
    """The upstreams that ended while a request was aboard.

    :param fingerprint: of the request.
    """

    fingerprint: str
    crashes: list[Crash]


Document = RoutingTable | UpstreamRecord | Member | Evacuation | Quarantine


class Decoder(t.Protocol):
    """Decodes items of the store.

    Raises :exc:`bankrack.exceptions.PlatformDataInvalid`; returns ``None`` for
    keys that nodes don't follow.
    """

    def __call__(self, item: Item) -> Document | None:
        """Decode one item that has a value."""
        ...
