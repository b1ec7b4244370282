"""What an item or its document means for the one that was known before."""

from bankrack.fleet.documents import Document
from bankrack.fleet.documents import Member
from bankrack.fleet.store import era_of
from bankrack.fleet.store import Item
from bankrack.serving.routing import RoutingTable
from bankrack.serving.upstreams import UpstreamRecord


def is_restored(known: Item, item: Item) -> bool:
    """Whether an item is the known one in a later era of the store."""
    return (
        item.value is not None
        and known.value == item.value
        and era_of(known.revision) < era_of(item.revision)
    )


def is_older_table(document: Document | None, previous: Document | None) -> bool:
    """Whether a configuration is older than the one before, which stays in force."""
    match previous, document:
        case RoutingTable(version=before), RoutingTable(version=now):
            return now < before
    return False


def is_replaced(previous: Document | None, document: Document | None) -> bool:
    """Whether a key's new document describes another upstream or member than before.

    An upstream that restarts keeps its key, but its new instance is another upstream.
    """
    match previous, document:
        case UpstreamRecord(id=before), UpstreamRecord(id=now):
            return before != now
        case Member(name=before), Member(name=now):
            return before != now
        case ((UpstreamRecord() | Member()), None):
            return True
    return False
