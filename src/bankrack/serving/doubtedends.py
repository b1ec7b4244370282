"""Ends of responses that are in doubt, and the answers that settle them."""

import asyncio
import contextlib
import dataclasses
import math
import typing as t

from bankrack.decisions.responseends import Evidence
from bankrack.decisions.responseends import Instance
from bankrack.decisions.responseends import is_settled
from bankrack.decisions.responseends import OtherUpstream
from bankrack.decisions.responseends import Recourse
from bankrack.decisions.responseends import Unanswered


def _no_answer() -> Evidence:
    return Unanswered("no answer")


@dataclasses.dataclass(slots=True, eq=False)
class DoubtedEnd:
    """The end of a response in doubt.

    :param upstream: the instance that sent the response.
    :param at: boot-time seconds of the end.
    :param recourse: what else can serve the request.
    :param settled: set to what shows whether the response is complete.
    :param newest: newest evidence that did not settle it.
    """

    upstream: Instance
    at: float
    recourse: Recourse
    settled: asyncio.Future[Evidence]
    newest: Evidence = dataclasses.field(default_factory=_no_answer)

    async def wait(self, seconds: float) -> Evidence:
        """Wait for what settles it; returns the newest evidence if nothing does."""
        await asyncio.wait([self.settled], timeout=seconds)
        if self.settled.done():
            return self.settled.result()
        match self.newest:
            case Unanswered(reason):
                return Unanswered(f"{reason} within {seconds:.2f} s")
            case evidence:
                return Unanswered(f"no proof within {seconds:.2f} s ({evidence})")


class DoubtedEnds:
    """The ends in doubt of all upstreams.

    An answer settles all ends of its upstream that lie before its question: a process
    that is asked behind an end, and answers, lived then.
    """

    __slots__ = ("_ends_by_id",)

    def __init__(self) -> None:
        self._ends_by_id: dict[str, set[DoubtedEnd]] = {}

    @contextlib.contextmanager
    def doubting(
        self, upstream_id: str, upstream: Instance, *, at: float, recourse: Recourse
    ) -> t.Iterator[DoubtedEnd]:
        """Hold an end in doubt."""
        settled = asyncio.get_running_loop().create_future()
        end = DoubtedEnd(upstream, at, recourse, settled)
        self._ends_by_id.setdefault(upstream_id, set()).add(end)
        try:
            yield end
        finally:
            ends = self._ends_by_id[upstream_id]
            ends.discard(end)
            if not ends:
                del self._ends_by_id[upstream_id]

    def is_any(self, upstream_id: str, *, before: float = math.inf) -> bool:
        """Whether an end of an upstream up to a time is not settled."""
        return any(
            end.at <= before and not end.settled.done()
            for end in self._ends_by_id.get(upstream_id, ())
        )

    def deliver(self, upstream_id: str, evidence: Evidence, *, asked_at: float) -> None:
        """Settle the ends that an answer of their upstream settles.

        :param asked_at: boot-time seconds when the question was sent.
        """
        for end in self._ends_by_id.get(upstream_id, ()):
            behind = asked_at - end.at
            if behind < 0.0 or end.settled.done():
                continue
            if is_settled(end.upstream, evidence, behind=behind):
                end.settled.set_result(evidence)
            else:
                end.newest = evidence

    def give_up_for_others(self, evidence: Evidence) -> None:
        """Settle the ends of requests that can be sent to another upstream."""
        self._settle(
            evidence, [e for e in self._all() if e.recourse == OtherUpstream()]
        )

    def settle_all(self, evidence: Evidence) -> None:
        """Settle all ends that are still in doubt."""
        self._settle(evidence, self._all())

    def _all(self) -> list[DoubtedEnd]:
        return [end for ends in self._ends_by_id.values() for end in ends]

    def _settle(self, evidence: Evidence, ends: t.Iterable[DoubtedEnd]) -> None:
        for end in ends:
            if not end.settled.done():
                end.settled.set_result(evidence)
