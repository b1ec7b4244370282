"""Tests of the parts of large values."""

import json
import random
import zlib

from bankrack.exceptions import PeerDataInvalid
from bankrack.fleet.store import Item
from bankrack.fleet.valueparts import MAX_PART_BYTES
from bankrack.fleet.valueparts import parse_outline
from bankrack.fleet.valueparts import split
from bankrack.fleet.valueparts import ValueParts
from tests.base import TestCase


def document(*, seed: int = 1, routes: int = 400) -> bytes:
    rng = random.Random(seed)
    entries = [{"name": rng.randbytes(8).hex(), "n": n} for n in range(routes)]
    return json.dumps({"version": seed, "routes": entries}).encode()


class ValuePartsTest(TestCase):
    def test_parts_of_any_content_join_to_the_value(self):
        rng = random.Random(7)
        values = (document(), rng.randbytes(70_000), b"x" * 50_000, b"}" * 9_000, b"a")
        for value in values:
            parts = split(value)
            self.assertEqual(value, b"".join(parts))
            self.assertLessEqual(max(map(len, parts)), MAX_PART_BYTES)

    def test_small_change_keeps_all_but_a_few_parts(self):
        value = document()
        middle = len(value) // 2
        changed = value[:middle] + b"other" + value[middle:]
        self.assertLessEqual(len(set(split(changed)) - set(split(value))), 2)

    def test_part_that_was_not_requested_or_is_corrupt_is_rejected(self):
        """Guards against a value that is put together from wrong bytes."""
        outline = ValueParts().outline_of(Item("k", document(), 1))
        parts = ValueParts()
        wanted = set(parts.missing(outline))
        for encoded in (b"corrupt", zlib.compress(b"another part")):
            self.assertRaises(PeerDataInvalid, parts.add, encoded, wanted)
        self.assertEqual(wanted, set(parts.missing(outline)))

    def test_malformed_outline_is_rejected(self):
        for joined in (b"", b"short"):
            self.assertRaises(PeerDataInvalid, parse_outline, "k", joined, 1)

    def test_parts_of_values_long_replaced_are_dropped(self):
        parts = ValueParts()
        outlines = [
            parts.outline_of(Item("k", document(seed=n), n)) for n in range(1, 6)
        ]
        self.assertTrue(parts.missing(outlines[0]))
        self.assertEqual([], parts.missing(outlines[-1]))
        self.assertEqual(document(seed=5), parts.join(outlines[-1]))
