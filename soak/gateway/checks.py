"""Checks of the gateways' guarantees against what callers and servers observed."""

import collections
import dataclasses
import itertools
import math
import re
import typing as t

from soak.gateway.callers import Call
from soak.gateway.callers import Callers
from soak.gateway.callers import KEY
from soak.gateway.callers import MAX_PAUSE_SECONDS
from soak.gateway.callers import MODEST_CALLERS
from soak.gateway.callers import MODEST_KEY
from soak.gateway.callers import PRESSING_CALLERS
from soak.gateway.callers import PRESSING_KEY
from soak.gateway.ends import UnframedEnds
from soak.gateway.fakes import Arrival
from soak.gateway.fakes import Journal
from soak.gateway.fakes import SoakEngine
from soak.gateway.fakes import SPEEDS
from soak.gateway.lag import blocked_spans
from soak.gateway.lag import Span
from soak.gateway.losses import Losses
from soak.gateway.processes import Gateway
from soak.gateway.processes import GRACE_SECONDS
from soak.gateway.runs import Troubles
from soak.gateway.runs import violations
from soak.gateway.unanswered import log_violations
from soak.gateway.unanswered import Unanswered

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DENIAL_STATUSES = frozenset({401, 403, 404})
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
TIMER_TOLERANCE_SECONDS = 0.4
"""Tolerance for timers that fire late on a busy machine."""
CUT_PATTERN = re.compile(r"event=caller_cut .*?request=(\S+)")
MAX_LOG_EXCERPT = 3000
"""Characters of a gateway's log quoted from the first sign of a failure."""
BACKOFF_GRACE_SECONDS = 0.5
"""Requests in flight when a server asks for backoff may arrive within this time."""
MAX_REQUESTS_IN_BACKOFF = 2
MAX_JITTER = 1.1
"""Most that nodes prolong a back-off by, as a factor."""
LIMIT_PROPAGATION_SECONDS = 3.0
"""Seconds from the first announcement of a rate limit until it is enforced."""
LIMIT_GRACE_SECONDS = 0.5
"""Time from a node's first response with the limit until its requests are counted."""
LIMIT_WINDOW_SECONDS = 4.0
"""Window in which requests are counted against a rate limit."""
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5
MAX_LINK_FAULT_SECONDS = 3.0
"""Longest fault of a link to a server."""
MAX_POISONED = 6
LATE_SECONDS = 2.0
MAX_LATE_SHARE = 0.25
"""Share of the requests that a flooded gateway reads and may answer late."""
MIN_SERVED_SHARE = 0.5
"""Fraction of the short runs that must be served by crowded engines."""
MIN_PATIENT_SHARE = 0.5
"""Runs of a caller that returns when told, as a fraction of those of an early one; the
rest is left to chance, as few such callers get a few runs each."""
MIN_SERVICE_SECONDS = 10.0
"""Time in service of the engines of one speed from which their runs are compared."""
MAX_SLOW_SHARE = 0.45
"""Runs/s of the slowest engines at most, as a fraction of those of the fastest."""
EXCLUSION_SECONDS = 1.0
"""Time in which all nodes exclude a server that resets all requests."""
MAX_REQUESTS_EXCLUDED = 2
READMISSION_SECONDS = 15.0
"""Time in which a server that failed requests is used again."""
CONTACT_SECONDS = 3.0
"""Time after a fault from which guarantees hold again."""
MIN_CUT_SHARE = 2 / 3
"""Share that VMs cut off from the upstreams serve, as a fraction of the others'."""
MAX_FALLS = 2
BUDGET_WINDOW_SECONDS = 10.0
BUDGET_RATIO = 0.2
BUDGET_RESERVE = 56


@dataclasses.dataclass(slots=True, frozen=True)
class Reset:
    """A period in which a plain server reset all requests.

    :param replaceable: another one without a rate limit was in service meanwhile.
    """

    server: str
    began: float
    ended: float
    replaceable: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Cut:
    """A period in which some VMs reached no upstream."""

    vms: frozenset[Gateway]
    began: float
    ended: float


class Checker:
    """Checks the guarantees after a soak and collects violations.

    :param callers: their calls are the requests as seen from outside.
    :param journal: runs and arrivals as recorded by the servers.
    """

    def __init__(self, callers: Callers, journal: Journal) -> None:
        self.violations: list[str] = []
        self._callers = callers
        self._journal = journal
        self.left_at_by_server: dict[str, float] = {}
        self.resets: list[Reset] = []
        self.added_at_by_path: dict[str, float] = {}
        self.dropping_at_by_path: dict[str, float] = {}
        self.dropped_at_by_path: dict[str, float] = {}
        self.engine_by_id: dict[str, SoakEngine] = {}
        self.unframed_counts: dict[str, int] = {}
        self.loss_counts: dict[str, int] = {}
        self.unanswered_counts: dict[str, int] = {}
        self.store_faults: list[tuple[float, float]] = []
        self.hall_cuts: list[tuple[float, float]] = []
        self.cuts: list[Cut] = []
        self.response_faults: list[tuple[float, float]] = []
        self.link_faults: dict[str, list[Span]] = collections.defaultdict(list)
        self.held_up: list[Span] = []

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee and print it."""
        self.violations.append(text)
        print(f"VIOLATION {text}", flush=True)

    def check(self, gateways: list[Gateway], *, speeds: bool = True) -> None:
        """Check all requests and logs, after all callers and gateways have ended.

        :param speeds: compare the runs of slow and fast engines; they tell nothing
            where engines live for seconds and others use their memory.
        """
        calls = self._callers.calls
        runs = collections.Counter(r.request for r in self._journal.runs)
        for call in calls:
            self._check_response(call, ran=runs[call.request] > 0)
            self._check_denial(call)
            self._check_closed(call)
        for call in self._callers.crossing:
            if runs[call.request]:
                self.record_violation(
                    f"{call.request} ran, and {call.node.name} closed its connection "
                    "without a response"
                )
        self._check_runs(gateways)
        self._check_leaving()
        self._check_notices()
        self._check_limits()
        if speeds:
            self._check_speeds()
        self._check_exclusion()
        self._check_readmission()
        self._check_retry_budget(calls)
        for cut in self.cuts:
            self._check_cut(cut)
        self._check_falls()
        self._check_slow_readers(gateways)
        for gateway in gateways:
            text = gateway.log.read_text(encoding="utf-8", errors="replace")
            for sign in ("request_crashed", "background task failed", "Traceback"):
                if sign in text:
                    excerpt = text[text.index(sign) :][:MAX_LOG_EXCERPT]
                    self.record_violation(f"{gateway.log.name} contains {excerpt}")

    def _check_slow_readers(self, gateways: list[Gateway]) -> None:
        """Check that no caller was cut that read its response in time."""
        call_by_request = {call.request: call for call in self._callers.calls}
        for gateway in gateways:
            text = gateway.log.read_text(encoding="utf-8", errors="replace")
            for request in CUT_PATTERN.findall(text):
                call = call_by_request[request]
                excused = gateway.disturbed_between(call.sent, call.ended)
                if call.pause <= MAX_PAUSE_SECONDS and not excused:
                    self.record_violation(
                        f"{gateway.name} cut {request} ({call.path}) after a pause of "
                        f"{call.pause:.1f} s"
                    )

    def check_held(self, gateway: Gateway, held: dict[str, t.Any]) -> None:
        """Check that a gateway without callers holds no bytes for any.

        :param held: from its state dump.
        """
        if any(held.values()):
            self.record_violation(
                f"{gateway.name} holds bytes after all callers ended: {held}"
            )

    def check_replacement(self) -> None:
        """Check that each connected caller got a response while nodes were replaced."""
        for call in self._callers.calls:
            served = call.complete and (
                call.status == 200 or call.status in NOT_RUN_STATUSES
            )
            if call.connected and not call.disconnects and not served:
                self.record_violation(
                    f"{call.request} ({call.path}) ended with {call.status} at "
                    f"{call.node.name} while nodes were replaced"
                )

    def served_shares(self) -> dict[str, float]:
        """Fraction of the streams that were served to their end, by key."""
        asked: collections.Counter[str] = collections.Counter()
        served: collections.Counter[str] = collections.Counter()
        for call in self._callers.calls:
            if call.path == "talk" and not call.disconnects:
                asked[call.key] += 1
                served[call.key] += call.complete and call.status == 200
        return {key: served[key] / count for key, count in asked.items()}

    def runs_per_caller(self) -> dict[str, float]:
        """Long runs served for each caller of a crowded pool, by key."""
        served = collections.Counter(
            call.key
            for call in self._callers.calls
            if call.status == 200 and call.complete
        )
        return {
            key: served[key] / count
            for key, count in (
                (PRESSING_KEY, PRESSING_CALLERS),
                (MODEST_KEY, MODEST_CALLERS),
            )
        }

    def check_crowded(self) -> None:
        """Check what the callers of crowded engines got."""
        self.check_shares()
        self._check_patience()

    def _check_patience(self) -> None:
        """Check that callers that return when told are served like early ones."""
        runs = self.runs_per_caller()
        for key, each in runs.items():
            print(f"runs for each caller of {key}: {each:.1f}")
        if runs[MODEST_KEY] < MIN_PATIENT_SHARE * runs[PRESSING_KEY]:
            self.record_violation(
                f"{runs[MODEST_KEY]:.1f} runs for each caller that returns when told, "
                f"{runs[PRESSING_KEY]:.1f} for each that returns early"
            )

    def check_shares(self) -> None:
        """Check that others' long runs leave room for a workspace with short ones."""
        share = self.served_shares()[KEY]
        if share < MIN_SERVED_SHARE:
            self.record_violation(
                f"{share:.2f} of the streams of the workspace with short runs were "
                f"served; {MIN_SERVED_SHARE} must be"
            )

    def check_floods(self) -> None:
        """Check that gateways serve what they read while most new connections come.

        A call without any response counts as read if it was not closed at once.
        """
        for calls in self._callers.floods:
            if not all(call.undisturbed for call in calls):
                continue
            read = [c for c in calls if c.status or c.ended > c.sent + LATE_SECONDS]
            late = [c for c in read if c.ended > c.sent + LATE_SECONDS]
            if len(late) > MAX_LATE_SHARE * len(read):
                self.record_violation(
                    f"{calls[0].node.name} was flooded by {len(calls)} connections and "
                    f"answered {len(late)} of {len(read)} requests late"
                )

    def check_crowds(self) -> None:
        """Check that gateways that say that they are ready take new connections."""
        for crowd in self._callers.crowds:
            if not crowd.ready or not all(call.undisturbed for call in crowd.calls):
                continue
            if not any(call.status for call in crowd.calls):
                self.record_violation(
                    f"{crowd.node.name} said ready and took none of "
                    f"{len(crowd.calls)} new connections beside idle ones"
                )

    def check_poison(self, ended_by_cause: dict[str, list[str]]) -> None:
        """Check how many engines a request or a part of prompts has crashed.

        Three crashes and three more sends are allowed.  No other request is refused.

        :param ended_by_cause: ids of the engines that each of them crashed.
        """
        for cause, ended in ended_by_cause.items():
            if len(ended) > MAX_POISONED:
                self.record_violation(
                    f"one {cause} ended {len(ended)} engines: {', '.join(ended)}"
                )
        for call in self._callers.calls:
            if not call.poisonous and b"request_quarantined" in call.body:
                self.record_violation(f"{call.request} was refused: {call.body!r}")

    def _check_response(self, call: Call, *, ran: bool) -> None:
        if error := call.response_error():
            self.record_violation(f"{call.request} ({call.path}): {error}")
        if call.status in NOT_RUN_STATUSES and ran:
            self.record_violation(f"{call.request} got status {call.status} and ran")

    def _check_denial(self, call: Call) -> None:
        """Check that a valid request is denied only while its route is new."""
        if call.status not in DENIAL_STATUSES:
            self._check_dropped(call)
            return
        if call.ended > self.dropping_at_by_path.get(call.path, math.inf):
            return
        added = self.added_at_by_path.get(call.path, 0.0)
        fresh = call.sent < added + APPLY_SECONDS + TIMER_TOLERANCE_SECONDS
        if added and (
            fresh or not call.undisturbed or self._is_store_faulty(call.sent)
        ):
            return
        self.record_violation(
            f"{call.request} ({call.path}) was denied with {call.status}"
        )

    def _check_dropped(self, call: Call) -> None:
        """Check that no route is served that was dropped some time ago."""
        late = call.sent - self.dropped_at_by_path.get(call.path, math.inf)
        if (
            call.status == 200
            and late > APPLY_SECONDS + TIMER_TOLERANCE_SECONDS
            and call.undisturbed
            and not self._is_store_faulty(call.sent)
        ):
            self.record_violation(
                f"{call.request} was served by {call.node.name} {late:.1f} s after "
                f"the route {call.path} was dropped"
            )

    def _check_closed(self, call: Call) -> None:
        """Check that a planned stop closes no connection without a response."""
        if (
            not call.undisturbed
            or not call.node.stop_requested_at
            or not call.connected
        ):
            return
        if call.status == 0 and call.ended < call.sent + 2.0:
            self.record_violation(
                f"{call.request}: {call.node.name} closed without a response"
            )

    def _check_runs(self, gateways: list[Gateway]) -> None:
        """Check how often and at how many engines at a time requests ran, and ended."""
        spans = {gateway: blocked_spans(gateway) for gateway in gateways}
        troubles = Troubles(self.held_up, spans, self.link_faults)
        for text in violations(self._callers.calls, self._journal.runs, troubles):
            self.record_violation(text)
        gone = {name: engine.gone for name, engine in self.engine_by_id.items()}
        ends = UnframedEnds(self._callers.calls, self._journal.runs, troubles, gone)
        for text in ends.violations():
            self.record_violation(text)
        self.unframed_counts = ends.counts

    def check_losses(self, gateways: list[Gateway]) -> None:
        """Check that no stream was lost whose engine lived and went on."""
        spans = {gateway: blocked_spans(gateway) for gateway in gateways}
        troubles = Troubles(self.held_up, spans, self.link_faults)
        losses = Losses(self._callers.calls, self._journal.runs, troubles)
        for text in losses.violations():
            self.record_violation(text)
        self.loss_counts = losses.counts

    def check_stops(self, gateways: list[Gateway]) -> None:
        """Check that requests are answered and logged around the stops of gateways."""
        spans = {gateway: blocked_spans(gateway) for gateway in gateways}
        troubles = Troubles(self.held_up, spans, self.link_faults)
        calls, arrivals = self._callers.calls, self._journal.arrivals
        gone = {name: engine.gone for name, engine in self.engine_by_id.items()}
        unanswered = Unanswered(calls, arrivals, self._journal.runs, troubles, gone)
        for text in unanswered.violations():
            self.record_violation(text)
        self.unanswered_counts = unanswered.counts
        for text in log_violations(calls, arrivals):
            self.record_violation(text)

    def _check_leaving(self) -> None:
        call_by_request = {call.request: call for call in self._callers.calls}
        for arrival in self._journal.arrivals:
            left = self.left_at_by_server.get(arrival.server)
            call = call_by_request.get(arrival.request)
            if left is None or call is None or not call.undisturbed:
                continue
            late = arrival.at - left
            if call.node.disturbed_between(call.sent, arrival.at):
                continue
            if (
                late > DRAIN_SECONDS + TIMER_TOLERANCE_SECONDS
                and not self._is_store_faulty(left)
            ):
                self.record_violation(
                    f"{arrival.request} reached {arrival.server} {late:.1f} s after "
                    "its entry was marked as draining or removed"
                )

    def _check_notices(self) -> None:
        """Check that gateways honor the notices in the responses that they received."""
        call_by_request = {call.request: call for call in self._callers.calls}
        arrivals_by_server_and_node = collections.defaultdict(list)
        for arrival in self._journal.arrivals:
            call = call_by_request.get(arrival.request)
            if call is not None:
                server_and_node = arrival.server, call.node
                arrivals_by_server_and_node[server_and_node].append((arrival, call))
        for (server, node), found in arrivals_by_server_and_node.items():
            for notice, call in found:
                if notice.leaving and call.status == 200 and call.complete:
                    self._check_leaving_notice(server, node, notice.answered, found)
            arrivals = [arrival for arrival, _ in found]
            self._check_backoff(server, node, arrivals)

    def _check_leaving_notice(
        self,
        server: str,
        node: Gateway,
        announced_at: float,
        found: list[tuple[Arrival, Call]],
    ) -> None:
        for arrival, call in found:
            late = call.sent - announced_at
            excused = node.disturbed_between(announced_at, arrival.at)
            if late > DRAIN_SECONDS + TIMER_TOLERANCE_SECONDS and not excused:
                self.record_violation(
                    f"{call.request} reached {server} from {node.name} {late:.1f} s "
                    "after a response announced that the server is leaving"
                )

    def _check_backoff(
        self, server: str, node: Gateway, arrivals: list[Arrival]
    ) -> None:
        """Check that a node sent next to nothing while it was asked for back-off.

        A server that rejects one request after the other asks again each time; the
        requests of such a period are counted together.
        """
        notices = [
            notice
            for notice in arrivals
            if notice.backoff
            and not node.disturbed_between(
                notice.answered - MAX_LINK_FAULT_SECONDS,
                notice.answered + notice.backoff,
            )
        ]
        for since, until in _backoff_periods(notices):
            count = sum(since < arrival.at < until for arrival in arrivals)
            if count > MAX_REQUESTS_IN_BACKOFF:
                self.record_violation(
                    f"{server} had asked {node.name} for {notices[0].backoff} s of "
                    f"back-off but received {count} requests from it"
                )

    def _check_limits(self) -> None:
        """Check the rate of all gateways together at servers that announce a limit."""
        call_by_request = {call.request: call for call in self._callers.calls}
        found_by_server = collections.defaultdict(list)
        for arrival in self._journal.arrivals:
            call = call_by_request.get(arrival.request)
            if call is not None:
                found_by_server[arrival.server].append((arrival, call.node))
        for server, found in found_by_server.items():
            for period in _limit_periods(found):
                self._check_limit(server, period)

    def _check_limit(self, server: str, period: list[tuple[Arrival, Gateway]]) -> None:
        limited_at_by_node: dict[Gateway, float] = {}
        for arrival, node in sorted(period, key=lambda pair: pair[0].answered):
            if arrival.answered:
                limited_at_by_node.setdefault(node, arrival.answered)
        if not limited_at_by_node:
            return
        began = min(limited_at_by_node.values())
        counted_at = [
            arrival.at
            for arrival, node in period
            if arrival.at > limited_at_by_node.get(node, math.inf) + LIMIT_GRACE_SECONDS
            and not node.disturbed_between(began - MAX_LINK_FAULT_SECONDS, arrival.at)
        ]
        limit = period[0][0].limit
        allowed = LIMIT_OVERSHOOT * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        for at in counted_at:
            count = sum(at - LIMIT_WINDOW_SECONDS < other <= at for other in counted_at)
            if at > began + LIMIT_PROPAGATION_SECONDS and count > allowed:
                self.record_violation(
                    f"{server} announced a limit of {limit} requests/s but received "
                    f"{count} requests in {LIMIT_WINDOW_SECONDS} s; "
                    f"{allowed} are allowed"
                )
                return

    def _check_exclusion(self) -> None:
        """Check that a server that resets all requests gets only repeatable ones.

        It is used if it is the only one available, as while the others have rate
        limits or asked for back-off.  Nodes that could not tell each other, or that saw
        another server fail as well, may not have excluded it.
        """
        faults = [*self.hall_cuts, *self.response_faults]
        for reset in self.resets:
            excused = any(at < reset.ended and end > reset.began for at, end in faults)
            count = self._unrepeatable_requests(reset)
            if reset.replaceable and not excused and count > MAX_REQUESTS_EXCLUDED:
                self.record_violation(
                    f"{reset.server} reset all requests, but {count} that may not be "
                    f"repeated reached it later than {EXCLUSION_SECONDS} s after that "
                    "began"
                )

    def _unrepeatable_requests(self, reset: Reset) -> int:
        """Count those that reached a server once it should have been excluded."""
        call_by_request = {call.request: call for call in self._callers.calls}
        since = reset.began + EXCLUSION_SECONDS
        count = 0
        for arrival in self._journal.arrivals:
            call = call_by_request.get(arrival.request)
            if call is not None and arrival.server == reset.server:
                late = call.path == "bill" and since < arrival.at < reset.ended
                count += (
                    late
                    and not self._asked_for_backoff(reset, call.node, arrival.at)
                    and not call.node.disturbed_between(
                        reset.began - MAX_LINK_FAULT_SECONDS, arrival.at
                    )
                )
        return count

    def _asked_for_backoff(self, reset: Reset, node: Gateway, at: float) -> bool:
        """Whether another plain server's back-off for a node had not ended."""
        call_by_request = {call.request: call for call in self._callers.calls}
        return any(
            notice.answered <= at < notice.answered + MAX_JITTER * notice.backoff
            and notice.server != reset.server
            and notice.request in call_by_request
            and call_by_request[notice.request].node is node
            for notice in self._journal.arrivals
            if notice.backoff
        )

    def run_rates(self) -> dict[float, float]:
        """Runs begun per second of an engine in service, by the engines' speed.

        A resumed run does not count, as it has to go where its copy is.
        """
        began = min((run.began for run in self._journal.runs), default=0.0)
        ended = max((run.began for run in self._journal.runs), default=0.0)
        seconds: collections.Counter[float] = collections.Counter()
        for engine in self.engine_by_id.values():
            served = min(ended, engine.closed) - max(began, engine.opened)
            seconds[engine.speed] += max(0.0, served)
        runs = collections.Counter(
            self.engine_by_id[run.server].speed
            for run in self._journal.runs
            if run.server in self.engine_by_id and not run.resumed
        )
        return {
            speed: runs[speed] / seconds[speed]
            for speed in SPEEDS
            if seconds[speed] >= MIN_SERVICE_SECONDS
        }

    def _check_speeds(self) -> None:
        """Check that slow engines get fewer runs than fast ones."""
        rates = self.run_rates()
        slow, fast = rates.get(min(SPEEDS)), rates.get(max(SPEEDS))
        if slow is not None and fast is not None and slow > MAX_SLOW_SHARE * fast:
            self.record_violation(
                f"slow engines got {slow:.1f} runs/s, fast ones {fast:.1f}"
            )

    def _check_readmission(self) -> None:
        """Check that a server that reset all requests is used again."""
        ended_at = max((call.sent for call in self._callers.calls), default=0.0)
        for reset in self.resets:
            server = reset.server
            until = reset.ended + READMISSION_SECONDS
            left_at = self.left_at_by_server.get(server, math.inf)
            if until > min(ended_at, left_at):
                continue
            arrivals = self._journal.arrivals
            if not any(
                a.server == server and reset.ended < a.at < until for a in arrivals
            ):
                self.record_violation(
                    f"{server} got no request for {READMISSION_SECONDS} s after it had "
                    "stopped resetting requests"
                )

    def _check_retry_budget(self, calls: list[Call]) -> None:
        """Check the retries of all gateways together against the retry budget.

        In any ``BUDGET_WINDOW_SECONDS`` they may not exceed ``BUDGET_RATIO`` of the
        requests, plus ``BUDGET_RESERVE``.
        """
        service_by_path = {"talk": "engines"}
        requested = [(c.sent, service_by_path.get(c.path, "plain")) for c in calls]
        seen: set[str] = set()
        retries: list[tuple[float, str]] = []
        for arrival in self._journal.arrivals:
            if arrival.request in seen:
                retries.append((arrival.at, arrival.service))
            seen.add(arrival.request)
        for at, service in retries:
            count = _count(retries, service, at, BUDGET_WINDOW_SECONDS)
            requests = _count(requested, service, at, 2 * BUDGET_WINDOW_SECONDS)
            if count > BUDGET_RATIO * requests + BUDGET_RESERVE:
                self.record_violation(
                    f"{count} retries at service {service} for {requests} requests"
                )
                return

    def _check_cut(self, cut: Cut) -> None:
        """Check that VMs that reach no upstream serve about as much as the others."""
        counts: collections.Counter[tuple[bool, bool]] = collections.Counter()
        for call in self._callers.calls:
            is_due = cut.began + CONTACT_SECONDS < call.sent < cut.ended
            if is_due and call.undisturbed and not call.disconnects:
                counts[call.node in cut.vms, call.status == 200] += 1
        served, failed = counts[True, True], counts[True, False]
        total = served + failed
        others = counts[False, True] + counts[False, False]
        if not total or not others:
            return
        share, other_share = served / total, counts[False, True] / others
        if failed > 10 + total / 50 and share < MIN_CUT_SHARE * other_share:
            names = ",".join(sorted(vm.name for vm in cut.vms))
            self.record_violation(
                f"{names}, cut off from the upstreams, served {served} of {total} "
                f"requests, the others {counts[False, True]} of {others}"
            )

    def _check_falls(self) -> None:
        """Check that brittle servers fall over rarely."""
        node_by_request = {call.request: call.node for call in self._callers.calls}
        counted: collections.Counter[int] = collections.Counter()
        for fall in self._journal.falls:
            nodes = [node_by_request[r] for r in fall.requests if r in node_by_request]
            in_touch = [
                not node.disturbed_between(fall.at - CONTACT_SECONDS, fall.at)
                for node in nodes
            ]
            counted[fall.period] += sum(in_touch) > len(nodes) / 2
        for period, falls in counted.items():
            if falls > MAX_FALLS:
                self.record_violation(
                    f"brittle servers fell over {falls} times in period {period}"
                )

    def _is_store_faulty(self, at: float) -> bool:
        """Whether a store fault lasted within 3 s of monotonic time ``at``."""
        return any(began - 3.0 < at < ended + 3.0 for began, ended in self.store_faults)

    def add_path(self, path: str) -> None:
        """Make callers use a route that was just added."""
        self._callers.paths = [*self._callers.paths[-3:], path]

    def record_stop(self, gateway: Gateway, *, in_time: bool) -> None:
        """Record whether a planned stop ended within the grace period."""
        if not in_time:
            self.record_violation(
                f"{gateway.name} was still running {GRACE_SECONDS} s after SIGTERM"
            )


def _backoff_periods(notices: list[Arrival]) -> list[tuple[float, float]]:
    """Return the periods of monotonic time in which a node must send nothing.

    Requests that were in flight when a server asked may arrive before.
    """
    periods: list[tuple[float, float]] = []
    for notice in sorted(notices, key=lambda notice: notice.answered):
        since = notice.answered + BACKOFF_GRACE_SECONDS + TIMER_TOLERANCE_SECONDS
        until = notice.answered + notice.backoff
        if periods and since < periods[-1][1]:
            since, _ = periods.pop()
        periods.append((since, until))
    return periods


def _limit_periods(
    found: list[tuple[Arrival, Gateway]],
) -> list[list[tuple[Arrival, Gateway]]]:
    """Group the arrivals at one server by the periods in which it announced a limit."""
    periods = itertools.groupby(found, key=lambda pair: pair[0].limit)
    return [list(period) for limit, period in periods if limit]


def _count(
    times: list[tuple[float, str]], service: str, until: float, span: float
) -> int:
    return sum(
        1 for at, name in times if name == service and until - span < at <= until
    )
