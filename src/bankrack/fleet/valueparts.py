"""Large values in parts, so that nodes send each other only what they lack.

A value is cut where its own content says so, and its parts are known by digest. A
change of a few bytes therefore changes one or two parts only, and a node may collect
the parts of one value from several others.
"""

import dataclasses
import hashlib
import typing as t
import zlib

from bankrack.exceptions import PeerDataInvalid
from bankrack.fleet.store import Item

LARGE_VALUE_BYTES = 16 * 1024
"""Values from this size on are sent in parts."""
DIGEST_BYTES = 16
MIN_PART_BYTES = 1024
MAX_PART_BYTES = 8 * 1024
SEGMENT_END = b"}"
"""Ends a segment, as an object of the JSON documents does; a part has whole segments.
Any other content has this byte now and then, or is cut at the longest part."""
SEGMENTS_PER_PART = 8
"""A part ends with one in so many segments, chosen by the segment's checksum."""
COMPRESSION_LEVEL = 1
KEPT_VALUES_PER_KEY = 3
"""Values of a key whose parts are kept: the one in force, its successor, which is
being received, and its predecessor, which other nodes may still request."""


@dataclasses.dataclass(slots=True, frozen=True)
class Outline:
    """The digests of a large value's parts, in their order.

    :param revision: joint revision of the value.
    """

    key: str
    revision: int
    digests: tuple[bytes, ...]

    def joined_digests(self) -> bytes:
        """Return the digests in the form in which they are sent."""
        return b"".join(self.digests)


def parse_outline(key: str, joined: bytes, revision: int) -> Outline:
    """Decode an outline; raises :exc:`PeerDataInvalid`."""
    if not joined or len(joined) % DIGEST_BYTES:
        raise PeerDataInvalid(f"the outline of {key} has {len(joined)} bytes")
    starts = range(0, len(joined), DIGEST_BYTES)
    digests = tuple(joined[start : start + DIGEST_BYTES] for start in starts)
    return Outline(key, revision, digests)


def digest_of(part: bytes) -> bytes:
    """Return the digest by which a part is known."""
    return hashlib.blake2b(part, digest_size=DIGEST_BYTES).digest()


def split(value: bytes) -> list[bytes]:
    """Cut a value into parts at places that depend on the nearby content only."""
    parts = []
    start = end = 0
    while end < len(value):
        segment_start = end
        found = value.find(SEGMENT_END, end, start + MAX_PART_BYTES)
        if found < 0:
            end = min(start + MAX_PART_BYTES, len(value))
            is_end = True
        else:
            end = found + len(SEGMENT_END)
            checksum = zlib.crc32(value[segment_start:end])
            is_end = checksum % SEGMENTS_PER_PART == 0 and end - start >= MIN_PART_BYTES
        if is_end:
            parts.append(value[start:end])
            start = end
    if start < len(value):
        parts.append(value[start:])
    return parts


class ValueParts:
    """The parts of the large values that this node has or receives."""

    def __init__(self) -> None:
        self._part_by_digest: dict[bytes, bytes] = {}
        self._encoded_by_digest: dict[bytes, bytes] = {}
        self._outlines_by_key: dict[str, list[Outline]] = {}

    def outline_of(self, item: Item) -> Outline:
        """Return the outline of a value that this node has, and keep its parts."""
        for known in self._outlines_by_key.get(item.key, ()):
            if known.revision == item.revision and not self.missing(known):
                return known
        parts = split(item.value or b"")
        digests = tuple(map(digest_of, parts))
        self._part_by_digest.update(zip(digests, parts, strict=True))
        outline = Outline(item.key, item.revision, digests)
        self.keep(outline)
        return outline

    def keep(self, outline: Outline) -> None:
        """Keep the parts of a value, and drop those of values long replaced."""
        kept = self._outlines_by_key.setdefault(outline.key, [])
        kept[:] = [known for known in kept if known.revision != outline.revision]
        kept.append(outline)
        kept.sort(key=lambda known: known.revision)
        if len(kept) > KEPT_VALUES_PER_KEY:
            del kept[:-KEPT_VALUES_PER_KEY]
            self._drop_unused()

    def _drop_unused(self) -> None:
        outlines = [o for kept in self._outlines_by_key.values() for o in kept]
        used = {digest for outline in outlines for digest in outline.digests}
        for parts in (self._part_by_digest, self._encoded_by_digest):
            for digest in parts.keys() - used:
                del parts[digest]

    def missing(self, outline: Outline) -> list[bytes]:
        """Return the digests of the parts that are not here, each once."""
        digests = dict.fromkeys(outline.digests)
        return [digest for digest in digests if digest not in self._part_by_digest]

    def join(self, outline: Outline) -> bytes:
        """Return the value of an outline none of whose parts is missing."""
        return b"".join(self._part_by_digest[digest] for digest in outline.digests)

    def encoded(self, digest: bytes) -> bytes | None:
        """Return a part in the form in which it is sent, if it is here."""
        encoded = self._encoded_by_digest.get(digest)
        if encoded is None and (part := self._part_by_digest.get(digest)) is not None:
            encoded = zlib.compress(part, COMPRESSION_LEVEL)
            self._encoded_by_digest[digest] = encoded
        return encoded

    def add(self, encoded: bytes, wanted: t.Container[bytes]) -> bytes:
        """Add a part that another node sent; returns its digest.

        :param wanted: digests that were requested.

        Raises :exc:`PeerDataInvalid` if it is not one of these.
        """
        decoder = zlib.decompressobj()
        try:
            part = decoder.decompress(encoded, MAX_PART_BYTES + 1)
        except zlib.error as error:
            raise PeerDataInvalid(f"a part does not decompress: {error}") from error
        digest = digest_of(part)
        if digest not in wanted:
            raise PeerDataInvalid("a part has the digest of none that was requested")
        self._part_by_digest[digest] = part
        self._encoded_by_digest[digest] = encoded
        return digest
