"""Processor time of reading upstreams' notices in response headers.

``python -m benchmarks.answers``
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "platform"))

from bankrack.serving.notices import Notice
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from benchmarks.timing import median_microseconds
from engines import PlatformUpstreams as Dialect

ROUNDS = 5000
USUAL = [
    ("Content-Type", "application/json"),
    ("Content-Length", "812"),
    ("Date", "Thu, 03 Dec 2026 05:00:00 GMT"),
    ("Server", "portal"),
    ("Keep-Alive", "timeout=5"),
    ("Bankrack-Request-Id", "9c41d07be2a35f68"),
    ("Bankrack-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
    ("Bankrack-Server-Load", "3,0,8"),
]
REJECTED = [*USUAL, ("Server-Leaving", "1"), ("Retry-After", "3")]
UPSTREAMS = 6_100


def main() -> None:
    """Run the benchmark and print its results."""
    dialect = Dialect()
    for name, status, headers in (
        ("usual", 200, USUAL),
        ("all notices", 503, REJECTED),
    ):
        spent = median_microseconds(
            lambda s=status, h=headers: dialect.read_head(s, h), rounds=ROUNDS
        )
        print(f"decoding response headers, {name}: {spent:.1f} us")
    upstreams = Upstreams()
    for number in range(UPSTREAMS):
        record = UpstreamRecord(f"i-{number}", f"s{number % 4}", "", "a", slots=8)
        upstreams.put(record)
    notices = NoticeHandler()
    upstream: Upstream = upstreams.by_id["i-0"]
    notice = Notice(waiting=0)
    spent = median_microseconds(
        lambda: notices.take(upstream, notice, status=200, sent_at=0.0), rounds=ROUNDS
    )
    print(f"handling a notice: {spent:.1f} us")
    for name, look in (
        ("open", upstreams.open_of),
        ("available", upstreams.available_of),
    ):
        spent = median_microseconds(lambda look=look: look("s0"), rounds=50)
        print(f"selecting the {name} ones of {UPSTREAMS} upstreams: {spent:.0f} us")


if __name__ == "__main__":
    main()
