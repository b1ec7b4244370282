"""An engine in virtual time: batches, prompts read in pieces, memory that runs out.

Figures come from its settings; a step makes one token of each run that was read, and
reads a piece of one prompt beside.
"""

import dataclasses
import typing as t

from bankrack.serving.upstreams import EngineReport

PIECE_TOKENS = 100
"""Prompt tokens that one step reads at most."""


@dataclasses.dataclass(slots=True, frozen=True)
class EngineTerms:
    """What an engine can do.

    :param memory: tokens; ``slots`` runs at once.
    :param step_seconds: a step that only makes tokens, of one run.
    :param run_seconds: added to a step by each further run.
    :param read_rate: prompt tokens a second, beside nothing else.
    """

    slots: int = 24
    memory: int = 34_000
    step_seconds: float = 0.007
    run_seconds: float = 0.00005
    read_rate: float = 14_000.0


@dataclasses.dataclass(slots=True, eq=False)
class EngineRun:
    """One run at an engine.

    :param length: tokens that it makes in all.
    :param unread: tokens that are to be read before it makes the next.
    """

    name: str
    priority: int
    prompt: int
    length: int
    on_token: t.Callable[[float, bool], None]
    on_lost: t.Callable[[float], None]
    unread: int = 0
    read: int = 0
    made: int = 0

    @property
    def tokens(self) -> int:
        """Tokens in memory."""
        return self.read


class PlayedEngine:
    """One engine.

    :param later: has a call made at a moment of virtual time.
    """

    def __init__(
        self,
        terms: EngineTerms,
        later: t.Callable[[float, t.Callable[[], None]], None],
    ) -> None:
        self.terms = terms
        self.running: list[EngineRun] = []
        self.waiting: list[EngineRun] = []
        self.read_in_vain = 0
        self.preempted = 0
        self.dark = False
        self._later = later
        self._busy = False
        self._hold_by_name: dict[str, tuple[float, int]] = {}
        self._holds = 0

    @property
    def used(self) -> int:
        """Tokens in memory, places kept among them."""
        return sum(run.tokens for run in self.running) + self._held_tokens

    @property
    def _held_tokens(self) -> int:
        return sum(tokens for _, tokens in self._hold_by_name.values())

    def hold(self, tokens: int, *, now: float, seconds: float) -> str | None:
        """Keep a slot and memory; ``None`` where there is no room."""
        self._forget_holds(now)
        taken = len(self.running) + len(self._hold_by_name)
        # A prompt that is still read takes all its memory in the end.
        coming = sum(run.unread for run in self.running)
        if taken >= self.terms.slots:
            return None
        if self.used + coming + tokens > self.terms.memory:
            return None
        self._holds += 1
        name = f"hold-{self._holds}"
        self._hold_by_name[name] = (now + seconds, tokens)
        return name

    def send(self, run: EngineRun, now: float, *, hold: str | None) -> None:
        """Take a run; it goes first where a place was kept for it."""
        run.unread = run.prompt
        if self._hold_by_name.pop(hold or "", None) is not None:
            self.running.append(run)
        else:
            self.waiting.append(run)
        self._wake(now)

    def cancel(self, run: EngineRun) -> None:
        """Drop a run whose caller is gone."""
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)

    def go_dark(self, now: float) -> None:
        """End at once; all runs are lost."""
        self.dark = True
        for run in [*self.running, *self.waiting]:
            run.on_lost(now)
        self.running, self.waiting = [], []
        self._hold_by_name = {}

    def report(self, now: float) -> EngineReport:
        """Tell the state."""
        return EngineReport(
            running=len(self.running),
            queued=len(self.waiting),
            used=self.used,
            total=self.terms.memory,
            taken=now,
            tokens_by_run={run.name: run.tokens for run in self.running},
        )

    def _forget_holds(self, now: float) -> None:
        for name, (until, _) in list(self._hold_by_name.items()):
            if until < now:
                del self._hold_by_name[name]

    def _wake(self, now: float) -> None:
        if not self._busy:
            self._busy = True
            self._later(now, lambda: self._step(now))

    def _step(self, now: float) -> None:
        """Make a token of each run, and read a piece of a prompt."""
        self._admit()
        if self.dark or not self.running:
            self._busy = False
            return
        terms = self.terms
        seconds = terms.step_seconds + terms.run_seconds * len(self.running)
        reading = next((run for run in self.running if run.unread), None)
        if reading is not None:
            piece = min(PIECE_TOKENS, reading.unread)
            reading.unread -= piece
            reading.read += piece
            seconds += piece / terms.read_rate
        ends = now + seconds
        self._later(ends, lambda: self._end_step(ends))

    def _end_step(self, now: float) -> None:
        for run in [run for run in self.running if not run.unread]:
            if run not in self.running:
                continue
            if self.used >= self.terms.memory:
                self._preempt()
            if run not in self.running:
                continue
            run.made += 1
            run.read += 1
            whole = run.made >= run.length
            if whole:
                self.running.remove(run)
            run.on_token(now, whole)
        self._step(now)

    def _admit(self) -> None:
        """Begin runs that wait, the most urgent first, while they fit."""
        self.waiting.sort(key=lambda run: run.priority)
        while self.waiting and len(self.running) < self.terms.slots:
            run = self.waiting[0]
            coming = sum(other.unread for other in self.running)
            if self.used + coming + run.unread > self.terms.memory:
                return
            self.running.append(self.waiting.pop(0))

    def _preempt(self) -> None:
        """Put the newest of the least urgent runs back; it is read anew."""
        least = max(run.priority for run in self.running)
        run = [run for run in self.running if run.priority == least][-1]
        self.running.remove(run)
        self.preempted += 1
        self.read_in_vain += run.read
        run.unread, run.read = run.prompt + run.made, 0
        self.waiting.insert(0, run)
