"""What tells the end of a response's body."""

from multidict import CIMultiDict

from bankrack.serving.framing import Framing
from bankrack.serving.framing import framing_of
from tests.base import TestCase


class FramingOf(TestCase):
    def check(self, expected: Framing, *, method: str = "GET", **headers: str) -> None:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.assertIs(expected, framing_of(method, 200, CIMultiDict(named)))

    def test_only_chunks_as_the_last_coding_frame_a_body(self):
        self.check(Framing.CHUNKED, transfer_encoding="chunked")
        self.check(Framing.CHUNKED, transfer_encoding="gzip, Chunked")
        self.check(Framing.CONNECTION, transfer_encoding="identity")
        self.check(Framing.CONNECTION, transfer_encoding="chunked, gzip")
        self.check(Framing.CONNECTION, transfer_encoding="gzip", content_length="3")

    def test_length_frames_a_body(self):
        self.check(Framing.LENGTH, content_length="3")
        self.check(Framing.CONNECTION)

    def test_response_without_a_body_needs_no_framing(self):
        self.check(Framing.NO_BODY, method="HEAD", transfer_encoding="identity")
        self.assertIs(Framing.NO_BODY, framing_of("GET", 204, CIMultiDict()))

    def test_second_transfer_encoding_line_is_not_ignored(self):
        lines = [("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "identity")]
        self.assertIs(Framing.CONNECTION, framing_of("GET", 200, CIMultiDict(lines)))
