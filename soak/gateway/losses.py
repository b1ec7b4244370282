"""Whether streams were broken off although an engine that had them lived and went on.

An engine may be silent for as long as the project says that gateways wait for it, see
``docs/design/single-run.md``; what is lost behind longer silences is counted apart.
"""

import collections
import typing as t

from soak.gateway.callers import Call
from soak.gateway.callers import CALL_TIMEOUT_SECONDS
from soak.gateway.callers import PATIENCE_SECONDS
from soak.gateway.conduct import Report
from soak.gateway.fakes import Run
from soak.gateway.processes import GRACE_SECONDS
from soak.gateway.runs import Troubles

WAITED_SECONDS = {
    Report.WITHOUT_RUNS: PATIENCE_SECONDS - 0.2,
    Report.STANDING_STILL: PATIENCE_SECONDS - 0.8,
    Report.PREEMPTED: 0.0,
}
"""Silence for which a gateway waits at least, 0.2 s less than it says."""
DEADLINE_SECONDS = CALL_TIMEOUT_SECONDS - 0.3
EARLY_SECONDS = 3.0
"""Requests that are sent later than this after SIGTERM must end in the grace period."""
LAST_PART_SECONDS = GRACE_SECONDS / 6
MAX_UNREAD_SECONDS = 0.9
"""Pause of a caller beyond which its response may be cut off."""
MAX_HELD_UP_SECONDS = 0.3


class Losses:
    """What became of the streams that were accepted.

    :ivar counts: of broken streams whose engines would have gone on in the caller's
        time, but were silent for longer than gateways say that they wait.
    """

    def __init__(
        self, calls: t.Iterable[Call], runs: t.Iterable[Run], troubles: Troubles
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._calls = calls
        self._runs_by_request = collections.defaultdict(list)
        for run in runs:
            self._runs_by_request[run.request].append(run)
        self._troubles = troubles

    def violations(self) -> t.Iterator[str]:
        """Describe streams that were broken off although an engine went on."""
        for call in self._calls:
            broken = call.path == "talk" and call.status == 200 and not call.complete
            if not broken or self._is_excused(call):
                continue
            for run in self._runs_by_request[call.request]:
                if not self._would_go_on(call, run):
                    continue
                where = f"{call.node.name}{' (stopping)' * _is_stopping(call)}"
                how = "given up by its caller" if call.gave_up else "broken off"
                text = (
                    f"{call.request} was {how} at {where} after event {call.events}, "
                    f"but {run.server} lived and would have gone on (silent for "
                    f"{run.silence:.2f} s, {run.report.value})"
                )
                if run.silence < WAITED_SECONDS[run.report]:
                    yield text
                else:
                    print(f"not waited for: {text}")
                    stopping = " (stopping)" * _is_stopping(call)
                    self.counts[run.report.value + stopping] += 1

    def _is_excused(self, call: Call) -> bool:
        stop = call.node.stop_before(call.ended)
        late = call.ended - stop > GRACE_SECONDS - LAST_PART_SECONDS
        return (
            call.disconnects
            or call.pause > MAX_UNREAD_SECONDS
            or call.ended > call.sent + DEADLINE_SECONDS
            or (_is_stopping(call) and late and call.sent < stop + EARLY_SECONDS)
            or call.node.disturbed_between(call.sent, call.ended)
            or self._troubles.held_up(call.node, call.sent, call.ended)
            > MAX_HELD_UP_SECONDS
        )

    def _would_go_on(self, call: Call, run: Run) -> bool:
        """Whether an engine lived, was reachable and would have gone on in time."""
        return (
            not run.broke_off
            and run.silence < PATIENCE_SECONDS
            and not self._troubles.out_of_touch(
                call.node, run.server, call.sent, call.ended
            )
        )


def _is_stopping(call: Call) -> bool:
    """Whether the gateway got SIGTERM before the end, in the life that had the call."""
    stop = call.node.stop_before(call.ended)
    return stop > 0 and not call.node.disturbed_between(stop, call.sent)
