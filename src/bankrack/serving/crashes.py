"""Detection of requests that crash upstreams.

A request may crash every upstream that runs it, and its caller may retry it at any
node; a part of its prompt may crash them in any other request too.  Each further
attempt would interrupt all runs of one more upstream, so crashes are recorded for the
request and its parts beyond a single attempt or node.
"""

import asyncio
import contextlib
import dataclasses
import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.poison import Crash
from bankrack.decisions.poison import is_early
from bankrack.exceptions import Outcome
from bankrack.exceptions import RequestQuarantined
from bankrack.exceptions import UpstreamDisconnected
from bankrack.serving.assignment import Assignment
from bankrack.serving.crashregister import CrashRegister
from bankrack.serving.job import shared_part_names
from bankrack.serving.paths import Listener
from bankrack.serving.paths import UpstreamPaths
from bankrack.serving.upstreams import Upstream

NOTIFY_TIMEOUT_SECONDS = 0.02
"""Longest wait until other nodes are notified; the notification itself continues."""

_logger = logging.getLogger(__name__)


class CrashMonitor:
    """Detects crashes of upstreams and rejects the requests that cause them.

    :param paths: checks listeners, as this node's own path may be broken.
    """

    def __init__(self, register: CrashRegister, paths: UpstreamPaths) -> None:
        self.register = register
        self._paths = paths
        self._checks_by_fingerprint: dict[str, set[asyncio.Task[None]]] = {}

    def refuse_unless_any_allowed(
        self, work: Assignment, upstreams: t.Sequence[Upstream]
    ) -> None:
        """Raise :exc:`RequestQuarantined` if no upstream may be sent a request."""
        blamed = [self._blamed(work, upstream) for upstream in upstreams]
        traits = [trait for trait in blamed if trait is not None]
        if not blamed or len(traits) < len(blamed):
            return
        if not self.register.take_retest(traits[0], work.fingerprint):
            raise self._quarantine_error(work, traits[0], sent=False)

    def refuse_unless_allowed(
        self, work: Assignment, upstream: Upstream, *, sent: bool
    ) -> None:
        """Raise :exc:`RequestQuarantined` if a request may not be sent to an upstream.

        This is the last check before the request is sent.

        :param sent: whether the request was sent to an upstream before.
        """
        trait = self._blamed(work, upstream)
        if trait is not None:
            raise self._quarantine_error(work, trait, sent=sent)

    def _blamed(self, work: Assignment, upstream: Upstream) -> str | None:
        return self.register.blamed(
            work.fingerprint, upstream.record.software, parts=work.parts
        )

    def _quarantine_error(
        self, work: Assignment, trait: str, *, sent: bool
    ) -> RequestQuarantined:
        crashes = self.register.crashes(trait)
        upstreams = {crash.upstream for crash in crashes if not crash.cleared}
        if trait == work.fingerprint:
            return RequestQuarantined(
                f"this request crashed {len(upstreams)} upstreams and is not sent to "
                f"others; change the request or fix the upstreams' software ({trait})"
            )
        return RequestQuarantined(
            f"requests with a part of this prompt crashed {len(upstreams)} upstreams "
            "and are not sent to others; change the prompt or fix the upstreams' "
            f"software ({trait})",
            outcome=Outcome.RAN if sent else Outcome.NOT_RUN,
        )

    def note_begun(self, work: Assignment, upstream: Upstream) -> None:
        """Record that an upstream sent the first event of a run."""
        for part in work.parts:
            self.register.note_served(part, upstream.record.software)

    def note_served(self, work: Assignment, upstream: Upstream) -> None:
        """Record that an upstream served a request completely without a crash."""
        self.register.note_served(work.fingerprint, upstream.record.software)

    def _is_suspect(self, work: Assignment) -> bool:
        return any(
            self.register.is_suspect(trait) for trait in (work.fingerprint, *work.parts)
        )

    async def note_failure(
        self,
        work: Assignment,
        upstream: Upstream,
        error: Exception,
        *,
        ran: float | None,
        events: int = 0,
    ) -> None:
        """Check whether an upstream crashed after a request failed there.

        The check runs in the background.  Only for a request that is already suspect,
        or whose earlier failure is still being checked, does this method wait, so that
        the results are known before a retry.

        :param ran: seconds since the run began; ``None`` if it had not begun.
        :param events: number of events that the run had sent so far, on any upstream.
        """
        if not isinstance(error, UpstreamDisconnected):
            return
        checks = self._checks_by_fingerprint.setdefault(work.fingerprint, set())
        must_wait = bool(checks) or self._is_suspect(work)
        check = asyncio.create_task(self._check(work, upstream, ran, events))
        checks.add(check)
        check.add_done_callback(lambda _: self._forget(work.fingerprint, check))
        if must_wait:
            await asyncio.wait(checks)

    def _forget(self, fingerprint: str, check: asyncio.Task[None]) -> None:
        checks = self._checks_by_fingerprint[fingerprint]
        checks.discard(check)
        if not checks:
            del self._checks_by_fingerprint[fingerprint]

    async def _check(
        self, work: Assignment, upstream: Upstream, ran: float | None, events: int
    ) -> None:
        began = boottime()
        listener = await self._paths.check(upstream.address)
        logs.event(
            _logger,
            "upstream_checked",
            request=work.job.id,
            fingerprint=work.fingerprint,
            upstream=upstream.id,
            leaving=upstream.leaving,
            listener=listener.value,
            ran=ran,
            events=events,
            parts=shared_part_names(work.job.demand) or None,
            took=boottime() - began,
        )
        # The end of an upstream that announced its shutdown is not a crash.
        if listener is Listener.REFUSES and not upstream.leaving:
            await self._note_crash(work, upstream, early=is_early(events))

    async def _note_crash(
        self, work: Assignment, upstream: Upstream, *, early: bool
    ) -> None:
        """Record a crash for the request, and for the parts that may have caused it."""
        crash = Crash(upstream.id, upstream.record.software, early)
        updates_sent = self.register.updates_sent
        has_updates = self.register.note_crash(work.fingerprint, crash)
        if early:
            by_request = dataclasses.replace(crash, request=work.fingerprint)
            for part in work.parts:
                has_updates |= self.register.note_crash(part, by_request)
        if has_updates:
            # An immediate retry by the caller reaches another node within 2 ms.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(updates_sent.wait(), NOTIFY_TIMEOUT_SECONDS)
