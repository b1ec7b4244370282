"""Whether requests ended without a whole answer around a SIGTERM to their gateway."""

import collections
import re
import typing as t

from soak.gateway.callers import Call
from soak.gateway.callers import CROSS_SECONDS
from soak.gateway.fakes import Arrival
from soak.gateway.fakes import Run
from soak.gateway.processes import Gateway
from soak.gateway.processes import GRACE_SECONDS
from soak.gateway.runs import Troubles

AFTER_GRACE_SECONDS = 1.0
"""Time after the grace period that still counts as around a SIGTERM."""
EARLY_SECONDS = 3.0
"""Requests that are sent later than this after SIGTERM must end in the grace period."""
LAST_PART_SECONDS = GRACE_SECONDS / 6
ROUTE_SECONDS = {"talk": 20.0}
PLAIN_SECONDS = 2.0
TIME_SLACK_SECONDS = 0.1
"""Time before the end of a caller's or a route's time that counts as its end."""
ENDED_PATTERN = re.compile(r"event=request_ended request=(\S+)")


class Unanswered:
    """Judges requests by the records of their callers and of the upstreams.

    :param gone_by_server: monotonic time at which each engine's process ended.
    :ivar counts: of requests without a whole answer around a SIGTERM, by the excuse.
    """

    def __init__(
        self,
        calls: t.Iterable[Call],
        arrivals: t.Iterable[Arrival],
        runs: t.Iterable[Run],
        troubles: Troubles,
        gone_by_server: t.Mapping[str, float],
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._calls = [call for call in calls if call.whole_at]
        self._passed_on = {arrival.request for arrival in arrivals}
        self._runs_by_request = collections.defaultdict(list)
        for run in runs:
            self._runs_by_request[run.request].append(run)
        self._troubles = troubles
        self._gone_by_server = gone_by_server

    def violations(self) -> t.Iterator[str]:
        """Describe requests that ended without a whole answer and without excuse."""
        for call in self._calls:
            stop = call.node.stop_before(call.ended)
            after = call.ended - stop
            is_around = stop and after < GRACE_SECONDS + AFTER_GRACE_SECONDS
            if call.complete or not is_around or not self._was_read(call):
                continue
            excuse = self._excuse(call, stop)
            self.counts[excuse or "no excuse"] += 1
            if not excuse:
                yield (
                    f"{call.request} ({call.path}) ended without a whole answer at "
                    f"{call.node.name} {after:.2f} s after SIGTERM and "
                    f"{call.ended - call.whole_at:.2f} s after it was sent: status "
                    f"{call.status}, event {call.events}, {self._describe_runs(call)}"
                )

    def _was_read(self, call: Call) -> bool:
        """Whether the gateway read the request, not counting one that crossed."""
        held_up = self._troubles.held_up(call.node, call.whole_at, call.ended)
        limit = call.whole_at + CROSS_SECONDS + call.trip + held_up
        return call.request in self._passed_on or call.ended > limit

    def _excuse(self, call: Call, stop: float) -> str:
        """Name why the end does not count; empty if it does."""
        runs = self._runs_by_request[call.request]
        route_seconds = ROUTE_SECONDS.get(call.path, PLAIN_SECONDS)
        seconds = min(call.deadline, route_seconds) - TIME_SLACK_SECONDS
        if call.ended > call.sent + seconds:
            return "its time was over"
        if runs and self._broke_off(max(runs, key=lambda run: run.began)):
            return "its upstream broke off"
        last_part = stop + GRACE_SECONDS - LAST_PART_SECONDS
        if call.sent <= stop + EARLY_SECONDS and any(
            run.began < stop + GRACE_SECONDS and run.end > last_part for run in runs
        ):
            return "at work in the last sixth"
        return ""

    def _broke_off(self, run: Run) -> bool:
        gone = self._gone_by_server.get(run.server)
        return run.broke_off or (gone is not None and run.end >= gone)

    def _describe_runs(self, call: Call) -> str:
        runs = self._runs_by_request[call.request]
        described = (
            f"at {run.server} until {call.ended - run.end:.2f} s before" for run in runs
        )
        return ", ".join(described) or "no upstream ran it"


def log_violations(
    calls: t.Iterable[Call], arrivals: t.Iterable[Arrival]
) -> t.Iterator[str]:
    """Describe requests at upstreams that have not one line on their ends each."""
    call_by_request = {call.request: call for call in calls}
    counts_by_node: dict[Gateway, collections.Counter[str]] = {}
    for request in sorted({arrival.request for arrival in arrivals}):
        call = call_by_request.get(request)
        if call is None:
            continue
        node = call.node
        if node not in counts_by_node:
            counts_by_node[node] = _ends_in_log(node)
        count = counts_by_node[node][request]
        if count != 1 and not node.was_killed_between(call.sent, call.ended):
            yield (
                f"{node.name} logged {count} ends of {request} ({call.path}), which "
                f"an upstream received; its caller got {call.status}"
            )


def _ends_in_log(node: Gateway) -> collections.Counter[str]:
    text = node.log.read_text(encoding="utf-8", errors="replace")
    return collections.Counter(ENDED_PATTERN.findall(text))
