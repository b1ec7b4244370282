"""Exchange of engine reports between nodes."""

import typing as t

import msgspec

from bankrack.clock import boottime
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream


class ReportMessage(msgspec.Struct, array_like=True):
    """Report of an engine; ``age`` in seconds."""

    id: str
    running: int
    queued: int
    used: int
    total: int
    age: float
    leaving: bool


def encode_reports(
    engines: t.Iterable[Upstream], *, learned_after: float = 0.0
) -> list[ReportMessage]:
    """Encode the reports that this node received after a given time.

    The time of receipt decides, not the time of the report: a relayed report may be
    older than the last update sent to the follower.
    """
    now = boottime()
    return [
        ReportMessage(
            engine.id,
            report.running,
            report.queued,
            report.used,
            report.total,
            now - report.taken,
            report.leaving,
        )
        for engine in engines
        if (report := engine.report) is not None
        and engine.report_received_at > learned_after
    ]


def merge_reports(upstreams: Upstreams, reports: t.Iterable[ReportMessage]) -> None:
    """Apply the reports that are newer than the known ones."""
    now = boottime()
    for found in reports:
        upstream = upstreams.by_id.get(found.id)
        if upstream is None:
            continue
        taken = now - found.age
        if upstream.report is not None and upstream.report.taken >= taken:
            continue
        upstream.note_report(
            EngineReport(
                running=found.running,
                queued=found.queued,
                used=found.used,
                total=found.total,
                taken=taken,
                leaving=found.leaving,
            ),
            learned=now,
        )
