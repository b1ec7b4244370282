"""Checks at the servers that requests run once, and at one engine at a time."""

import collections
import dataclasses
import itertools
import typing as t

from soak.gateway.callers import Call
from soak.gateway.fakes import Run
from soak.gateway.lag import covered_seconds
from soak.gateway.lag import Span
from soak.gateway.processes import Gateway

OVERLAP_SECONDS = 0.4
"""Longest time for which two engines may both be at work on a run."""
SEND_SECONDS = 0.1
"""Time before an arrival at a server in which its gateway sent it."""


@dataclasses.dataclass(slots=True, frozen=True)
class Troubles:
    """What may keep a gateway from closing a connection to an engine in time.

    :param soak: spans in which the soak's own process was held up.
    :param by_gateway: those of a gateway's process.
    :param by_server: spans in which the link to a server was disturbed, by its id.
    """

    soak: list[Span]
    by_gateway: dict[Gateway, list[Span]]
    by_server: dict[str, list[Span]]

    def held_up(self, node: Gateway, since: float, until: float) -> float:
        """Seconds for which the soak or a gateway stood still in a period."""
        return covered_seconds([*self.soak, *self.by_gateway[node]], since, until)

    def out_of_touch(
        self, node: Gateway, server: str, since: float, until: float
    ) -> bool:
        """Whether a fault kept a gateway from reaching a server in a period."""
        return node.disturbed_between(since, until) or any(
            began < until and since < ended for began, ended in self.by_server[server]
        )


def violations(
    calls: t.Iterable[Call], runs: t.Iterable[Run], troubles: Troubles
) -> t.Iterator[str]:
    """Describe requests that ran twice, or at two engines for too long."""
    call_by_request = {call.request: call for call in calls}
    runs_by_request = collections.defaultdict(list)
    for run in runs:
        runs_by_request[run.request].append(run)
    for request, found in runs_by_request.items():
        call = call_by_request.get(request)
        if call is None:
            yield f"{request} ran but no caller sent it"
            continue
        starts = [run for run in found if not run.resumed]
        if not call.path.startswith("look") and len(starts) > 1:
            servers = ", ".join(run.server for run in found)
            yield f"{request} ({call.path}) ran {len(starts)} times: at {servers}"
        for earlier, later in itertools.combinations(found, 2):
            yield from _overlap(call, earlier, later, troubles)


def _overlap(
    call: Call, earlier: Run, later: Run, troubles: Troubles
) -> t.Iterator[str]:
    """Describe for how long two engines were at work on a run, if that is too long."""
    if earlier.service != "engines" or later.service != "engines":
        return
    since, until = later.began, min(earlier.end, later.end)
    held_up = troubles.held_up(call.node, since, until)
    limit = since + OVERLAP_SECONDS + held_up
    if until <= limit:
        return
    server = earlier.server
    if not troubles.out_of_touch(call.node, server, since - SEND_SECONDS, limit):
        yield (
            f"{call.request} was at work at {server} and at {later.server} for "
            f"{until - since:.2f} s ({call.node.name}, held up {held_up:.2f} s)"
        )
