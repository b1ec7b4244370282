"""Causes of failed requests, from the gateways' logs.

``python -m benchmarks.losses LOG...`` reads one file per day with the log lines of all
gateways, each prefixed with the time in seconds and the node's name.  It prints one row
for each cause, with the number of attempts per day and in total.  A loss is
*unavoidable* for the causes in ``UNAVOIDABLE``.  Attempts that were denied or served
are not losses; those served late are listed by cause.
"""

import argparse
import collections
import dataclasses
import re
import statistics
import typing as t

_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
LATE_FIRST_EVENT_SECONDS = 1.5
"""Streams whose first event is later than this count as late."""
MIN_LONG_STREAM_EVENTS = 50
"""Minimum number of events of a stream that is used to estimate an engine's pace."""
TIMED_OUT = "its time ran out at its upstream"
"""Used for plain requests only: a gateway forwards them at once, or refuses them."""
UNCONFIRMED_DENIAL = "a denial that could not be confirmed"
"""A request that a node would deny is refused while the store is unavailable."""
UNAVOIDABLE = frozenset(
    {"upstreams failed it", "node ended under it", TIMED_OUT, UNCONFIRMED_DENIAL}
)
SLOW_ENGINE_FACTOR = 1.25
"""An engine is slow if its events are this much further apart than usual."""
MAX_READING_GAPS = 10.0
"""A prompt that is read beside a stream makes no longer pause, in multiples of its gap;
in a longer one the run was preempted or its engine stood still."""
LATE_PREFIX = "late: "
"""Prefix of the causes of attempts that were served late."""


_NONE: collections.Counter[str] = collections.Counter()


@dataclasses.dataclass(slots=True)
class Attempt:
    """The log entries of one attempt of a caller.

    :param stream: the request was sent to an engine.
    :param sent: seconds from arrival to the first response headers, if any.
    :param reserved: seconds from arrival until an engine granted a reservation.
    :param has_backup: the run was sent with the name of a backup engine.
    :param copied: a copy of the run was made.
    :param refusal: reason of the last refused resume, if any.
    :param events: number of events of a stream that was served completely.
    :param between_events: mean seconds between these events.
    :param pause: longest pause in seconds of a stream that paused for too long.
    :param base_gap: usual seconds between events on its last engine.
    :param moved: the run changed its engine in that pause.
    """

    node: str
    stream: bool = False
    sent: float | None = None
    reserved: float | None = None
    has_backup: bool = False
    copied: bool = False
    refusal: str | None = None
    events: int = 0
    between_events: float = 0.0
    pause: float = 0.0
    base_gap: float = 0.0
    moved: bool = False
    outcome: str | None = None


def read_fields(line: str) -> dict[str, str]:
    """Parse the ``name=value`` pairs of a log line."""
    return {name: value.strip('"') for name, value in _FIELD_PATTERN.findall(line)}


class Day:
    """The attempts of one day.

    :param lines: lines of all gateways' logs.
    """

    def __init__(self, lines: t.Iterable[str]) -> None:
        self.attempts_by_id: dict[str, Attempt] = {}
        for line in lines:
            self._take(line)

    def _take(self, line: str) -> None:
        fields = read_fields(line)
        request = fields.get("request")
        event = fields.get("event")
        if request is None or event is None:
            return
        node = line.split(maxsplit=2)[1]
        attempt = self.attempts_by_id.setdefault(request, Attempt(node))
        elapsed = float(fields.get("elapsed", "0"))
        match event:
            case "place_kept":
                attempt.reserved = elapsed
            case "run_sent":
                attempt.stream = True
                attempt.has_backup = "backup" in fields
                if attempt.sent is None:
                    attempt.sent = elapsed
            case "copy_made":
                attempt.copied = True
            case "resume_refused":
                attempt.refusal = fields.get("reason") or fields["outcome"]
            case "stream_paced" if fields.get("whole", "True") == "True":
                attempt.events = int(fields["events"])
                attempt.between_events = float(fields["between_events"])
                attempt.base_gap = float(fields.get("base_gap", "0"))
                attempt.moved = fields.get("pause_moved") == "True"
                if float(fields.get("stood_still", "0")) > 0.0:
                    attempt.pause = float(fields["longest_pause"])
            case "request_ended":
                attempt.outcome = fields.get("outcome", "")

    def paces(self) -> list[float]:
        """Mean seconds between the events of each long stream, sorted."""
        long = (
            a
            for a in self.attempts_by_id.values()
            if a.events >= MIN_LONG_STREAM_EVENTS
        )
        return sorted(attempt.between_events for attempt in long)

    def pauses(self) -> collections.Counter[str]:
        """Count streams that paused for longer than their target by cause."""
        gaps = [a.base_gap for a in self.attempts_by_id.values() if a.base_gap]
        usual = statistics.median(gaps) if gaps else 0.0
        return collections.Counter(
            _pause_cause(attempt, usual)
            for attempt in self.attempts_by_id.values()
            if attempt.pause
        )

    def causes(self) -> collections.Counter[str]:
        """Count lost and late attempts by cause."""
        found = (_cause(attempt) for attempt in self.attempts_by_id.values())
        return collections.Counter(cause for cause in found if cause)


def _cause(attempt: Attempt) -> str | None:
    """Return the cause of a loss; ``None`` for attempts served in time or denied."""
    outcome = attempt.outcome
    if outcome is None:
        return "node ended under it"
    code = outcome.split(" ")[0].rstrip(",")
    if code.startswith("5") and code.isdigit():
        return "upstreams failed it"
    match code:
        case "whole" | "200" | "authentication_failed" | "not_found" | "cancelled":
            return _late_cause(attempt)
        case "stream_interrupted":
            return _lost_stream_cause(attempt)
        case "node_not_ready":
            unconfirmed = "can't be confirmed" in outcome
            return (
                UNCONFIRMED_DENIAL
                if unconfirmed
                else "no configuration, store unavailable"
            )
        case "deadline_exceeded":
            streamed = attempt.stream or attempt.reserved is not None
            return "its time ran out" if streamed else TIMED_OUT
        case "node_draining":
            return "sent to a node that stops"
    return code


def _late_cause(attempt: Attempt) -> str | None:
    if attempt.sent is None or attempt.sent < LATE_FIRST_EVENT_SECONDS:
        return None
    waited = attempt.reserved is not None and attempt.reserved > attempt.sent / 2
    return LATE_PREFIX + ("waited for a place" if waited else "its engine was slow")


def _pause_cause(attempt: Attempt, usual_gap: float) -> str:
    if attempt.moved:
        return "the run changed its engine"
    if not attempt.base_gap:
        return "unknown"
    if attempt.pause > MAX_READING_GAPS * attempt.base_gap:
        return "its engine stood still, or preempted it"
    if attempt.base_gap > SLOW_ENGINE_FACTOR * usual_gap:
        return "a prompt was read beside it on a slow engine"
    return "a prompt was read beside it on another engine"


def _lost_stream_cause(attempt: Attempt) -> str:
    if attempt.refusal is not None:
        return f"engine ended, copy refused ({attempt.refusal[:40]})"
    if attempt.has_backup or attempt.copied:
        return "engine ended, its copy's engine too"
    return "engine ended without a copy"


def _print_causes(counts: list[collections.Counter[str]], attempts: int) -> None:
    total = sum(counts, collections.Counter())
    for cause, count in total.most_common():
        row = " ".join(f"{day[cause]:5d}" for day in counts)
        print(f"{count:6d}  {row}  {cause}")
    avoidable = sum(
        count
        for cause, count in total.items()
        if cause not in UNAVOIDABLE and not cause.startswith(LATE_PREFIX)
    )
    per_thousand = 1000 * avoidable / max(1, attempts)
    print(
        f"{avoidable} avoidable losses in {attempts} attempts, "
        f"{per_thousand:.1f} per 1,000"
    )


def _print_paces(paces: list[float]) -> None:
    if not paces:
        return
    median_ms = 1000 * statistics.median(paces)
    percentile_90_ms = 1000 * sorted(paces)[len(paces) * 9 // 10]
    print(
        f"time between events of {len(paces)} long streams: median {median_ms:.1f} ms, "
        f"90th percentile {percentile_90_ms:.1f} ms"
    )


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Print the table and return the exit code."""
    parser = argparse.ArgumentParser(description="Causes of failed requests, from logs")
    parser.add_argument("logs", nargs="+", metavar="LOG")
    days = []
    for name in parser.parse_args(arguments).logs:
        with open(name, encoding="utf-8", errors="replace") as file:
            days.append(Day(file))
    attempts = sum(len(day.attempts_by_id) for day in days)
    _print_causes([day.causes() for day in days], attempts)
    for cause, count in sum((day.pauses() for day in days), _NONE).most_common():
        print(f"{count:6d}  stream paused: {cause}")
    _print_paces([pace for day in days for pace in day.paces()])
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
