"""Whether true ends of unframed streams, and only those, reached callers as ends.

That a complete stream is whole is checked for each call, see
:meth:`soak.gateway.callers.Call.response_error`.
"""

import collections
import typing as t

from soak.gateway.callers import Call
from soak.gateway.callers import CALL_TIMEOUT_SECONDS
from soak.gateway.fakes import Run
from soak.gateway.runs import Troubles

MAX_UNREAD_SECONDS = 0.9
"""Pause of a caller beyond which an unframed stream may count as cut off."""
MAX_HELD_UP_SECONDS = 0.3
"""Time for which processes may be held up while an end is confirmed."""
DEADLINE_SECONDS = CALL_TIMEOUT_SECONDS - 0.3
NOTICE_SECONDS = 0.5
"""Time after a call in which the fault that ended it is recorded."""


class UnframedEnds:
    """What became of the unframed responses.

    :param gone_at_by_server: monotonic times at which servers' processes ended.
    :ivar counts: of streams and plain responses by their ends.
    """

    def __init__(
        self,
        calls: t.Iterable[Call],
        runs: t.Iterable[Run],
        troubles: Troubles,
        gone_at_by_server: t.Mapping[str, float],
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._calls = calls
        self._last_by_request = {run.request: run for run in runs}
        self._troubles = troubles
        self._gone_at_by_server = gone_at_by_server

    def violations(self) -> t.Iterator[str]:
        """Describe streams that were broken off although their engines ended them."""
        for call in self._calls:
            run = self._last_by_request.get(call.request)
            if run is None or not run.unframed or call.disconnects:
                continue
            kind = "streams" if call.path == "talk" else "plain responses"
            if call.complete and call.status == 200:
                self.counts[f"{kind} complete"] += 1
                continue
            sent = "sent whole" if run.whole else "cut"
            self.counts[f"{kind} broken off that were {sent}"] += 1
            if kind == "streams" and run.whole and not self._is_explained(call, run):
                yield (
                    f"{call.request} was broken off at {call.node.name} after event "
                    f"{call.events}, but {run.server} had ended it and lived on"
                )

    def _is_explained(self, call: Call, run: Run) -> bool:
        """Whether a fault explains that an end was in doubt."""
        troubles, until = self._troubles, call.ended + NOTICE_SECONDS
        return (
            self._gone_at_by_server[run.server] < until
            or troubles.out_of_touch(call.node, run.server, call.sent, until)
            or troubles.held_up(call.node, run.end, until) > MAX_HELD_UP_SECONDS
            or call.pause > MAX_UNREAD_SECONDS
            or call.ended > call.sent + DEADLINE_SECONDS
        )
