"""The confirmed configuration: its stored form and this node's copy.

A document is stored as a head, ``config/current``, that refers to sections by
the hash of their content.  A change of one upstream rewrites one small section
and the head, so that nodes transfer little data for each change.
"""

import hashlib
import typing as t
import zlib

import msgspec

from bankrack.control.intent import Intent
from bankrack.control.intent import Service
from bankrack.control.intent import Upstream
from bankrack.control.intent import Workspace
from bankrack.exceptions import InvariantViolated
from bankrack.exceptions import PlatformDataInvalid

CURRENT_KEY = "config/current"
SECTION_PREFIX = "config/sections/"
HISTORY_PREFIX = "config/history/"
ITEMS_PER_SECTION = 32
"""Average number of items above which sections are split."""
MAX_SECTION_BYTES = 1 << 20


class Head(msgspec.Struct, frozen=True):
    """The record that a confirmation replaces by compare-and-swap.

    :param revision: number of confirmed plans, starting at 1.
    :param plan_id: the plan that made this revision, by which a confirmation
        whose response was lost is recognized.
    :param confirmed_at: wall clock seconds, for information only.
    :param hashes_by_section: content hash of each section.
    """

    revision: int
    plan_id: str
    operator: str
    confirmed_at: float
    hashes_by_section: dict[str, str]


class Document(msgspec.Struct, frozen=True):
    """A head with all its sections."""

    head: Head
    sections_by_hash: dict[str, bytes]

    @property
    def revision(self) -> int:
        """The revision of the head."""
        return self.head.revision


class _Section(msgspec.Struct, frozen=True):
    workspaces: list[Workspace] = []
    services: list[Service] = []
    upstreams: list[Upstream] = []
    handle_key: str = ""


def encode_head(head: Head) -> bytes:
    """Encode a head for the store."""
    return zlib.compress(msgspec.msgpack.encode(head))


def decode_head(data: bytes) -> Head:
    """Decode a stored head.

    :raises PlatformDataInvalid: the data does not decode.
    """
    return _decode(data, Head, CURRENT_KEY)


def split(intent: Intent) -> dict[str, bytes]:
    """Split an intent into encoded sections, by section name."""
    sections = {"security": _Section(handle_key=intent.handle_key)}
    for name, group in _buckets(intent.workspaces_by_name).items():
        sections[f"workspaces/{name}"] = _Section(workspaces=group)
    for name, services in _buckets(intent.services_by_name).items():
        sections[f"services/{name}"] = _Section(services=services)
    for name, upstreams in _buckets(intent.upstreams_by_name).items():
        sections[f"upstreams/{name}"] = _Section(upstreams=upstreams)
    return {
        name: zlib.compress(msgspec.msgpack.encode(section))
        for name, section in sections.items()
    }


def content_hash(data: bytes) -> str:
    """Return the hash under which a section is stored."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def join(document: Document) -> Intent:
    """Decode the intent from a document's sections.

    :raises PlatformDataInvalid: a section is missing or damaged.
    """
    workspaces: dict[str, Workspace] = {}
    services: dict[str, Service] = {}
    upstreams: dict[str, Upstream] = {}
    handle_key = ""
    for name, digest in sorted(document.head.hashes_by_section.items()):
        data = document.sections_by_hash.get(digest)
        if data is None or content_hash(data) != digest:
            raise PlatformDataInvalid(
                f"section {name} of the configuration is missing or damaged; "
                "confirm the intent again"
            )
        section = _decode(data, _Section, name)
        workspaces.update((item.name, item) for item in section.workspaces)
        services.update((item.name, item) for item in section.services)
        upstreams.update((item.name, item) for item in section.upstreams)
        handle_key = section.handle_key or handle_key
    return Intent(workspaces, services, upstreams, handle_key)


class Configuration:
    """The configuration in force on this node, whose revision only increases.

    :param on_change: called with the new intent after each change.
    """

    def __init__(self, on_change: t.Callable[[Intent], None] | None = None) -> None:
        self.document: Document | None = None
        self.intent = Intent()
        self._on_change = on_change

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first configuration."""
        return self.document.revision if self.document else 0

    def adopt(self, document: Document) -> bool:
        """Put ``document`` in force if it is newer; tell whether it was.

        :raises PlatformDataInvalid: a section is missing or damaged.
        """
        if document.revision < self.revision:
            return False
        if self.document is not None and document.revision == self.revision:
            self._check_same_plan(document)
            return False
        intent = join(document)
        before = self.revision
        self.document = document
        self.intent = intent
        if self.revision <= before:
            raise InvariantViolated(
                f"the configuration's revision fell from {before} to {self.revision}"
            )
        if self._on_change is not None:
            self._on_change(intent)
        return True

    def _check_same_plan(self, document: Document) -> None:
        assert self.document is not None
        if document.head.plan_id != self.document.head.plan_id:
            raise InvariantViolated(
                f"two plans were confirmed as revision {document.revision}"
            )


D = t.TypeVar("D")


def _decode(data: bytes, kind: type[D], item_name: str) -> D:
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(data, MAX_SECTION_BYTES * 8)
        return msgspec.msgpack.decode(plain, type=kind)
    except (zlib.error, msgspec.DecodeError) as error:
        raise PlatformDataInvalid(
            f"{item_name} of the configuration does not decode; confirm the intent "
            "again"
        ) from error


V = t.TypeVar("V")


def _buckets(items_by_name: dict[str, V]) -> dict[str, list[V]]:
    """Group items by a hash of their name, so that a change affects one group."""
    count = 1
    while count * ITEMS_PER_SECTION < len(items_by_name):
        count *= 2
    groups: dict[str, list[V]] = {}
    for name, item in sorted(items_by_name.items()):
        digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
        bucket = int.from_bytes(digest, "big") % count
        groups.setdefault(f"{count}-{bucket}", []).append(item)
    return groups
