"""Model of an engine in virtual time, with batching, chunked prefill and preemption.

Each step generates one token of every prefilled run, and prefills a chunk of one
further prompt.
"""

import dataclasses
import typing as t

from bankrack.serving.upstreams import EngineReport

PREFILL_CHUNK_TOKENS = 100
"""Largest number of prompt tokens that one step prefills."""


@dataclasses.dataclass(slots=True, frozen=True)
class EngineParameters:
    """Capacity and speed of an engine.

    :param slots: largest number of concurrent runs.
    :param memory: capacity of the KV cache, in tokens.
    :param step_seconds: base duration of a step.
    :param run_seconds: duration that each run adds to a step.
    :param read_rate: prefill throughput, in prompt tokens per second.
    """

    slots: int = 24
    memory: int = 34_000
    step_seconds: float = 0.007
    run_seconds: float = 0.00005
    read_rate: float = 14_000.0


@dataclasses.dataclass(slots=True, eq=False)
class EngineRun:
    """One run on an engine.

    :param prompt: prompt tokens.
    :param length: tokens to generate.
    :param on_token: called for each token with the time and whether it is the last.
    :param on_lost: called with the time if the engine crashes.
    :param unprefilled: tokens to prefill before the next token can be generated.
    :param cached: tokens in the KV cache.
    :param generated: tokens generated so far.
    """

    name: str
    priority: int
    prompt: int
    length: int
    on_token: t.Callable[[float, bool], None]
    on_lost: t.Callable[[float], None]
    unprefilled: int = 0
    cached: int = 0
    generated: int = 0

    @property
    def tokens(self) -> int:
        """Tokens in the KV cache."""
        return self.cached


class SimulatedEngine:
    """Simulates one engine.

    :param schedule: schedules a call at a point of virtual time.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        schedule: t.Callable[[float, t.Callable[[], None]], None],
    ) -> None:
        self.parameters = parameters
        self.running: list[EngineRun] = []
        self.waiting: list[EngineRun] = []
        self.wasted_prefill_tokens = 0
        self.preempted = 0
        self.crashed = False
        self._schedule = schedule
        self._busy = False
        self._reservation_by_name: dict[str, tuple[float, int]] = {}
        self._reservation_count = 0

    @property
    def used(self) -> int:
        """Tokens in the KV cache, including reservations."""
        return sum(run.tokens for run in self.running) + self._reserved_tokens

    @property
    def _reserved_tokens(self) -> int:
        return sum(tokens for _, tokens in self._reservation_by_name.values())

    def reserve(self, tokens: int, *, now: float, seconds: float) -> str | None:
        """Reserve a slot and memory; return ``None`` if there is no capacity.

        :param tokens: memory to reserve.
        :param seconds: time until the reservation expires.
        """
        self._expire_reservations(now)
        occupied = len(self.running) + len(self._reservation_by_name)
        # The rest of a prompt that is being prefilled will need memory as well.
        pending_prefill = sum(run.unprefilled for run in self.running)
        if occupied >= self.parameters.slots:
            return None
        if self.used + pending_prefill + tokens > self.parameters.memory:
            return None
        self._reservation_count += 1
        name = f"reservation-{self._reservation_count}"
        self._reservation_by_name[name] = (now + seconds, tokens)
        return name

    def send(self, run: EngineRun, now: float, *, reservation: str | None) -> None:
        """Accept a run; with a valid reservation it starts without queueing."""
        run.unprefilled = run.prompt
        if self._reservation_by_name.pop(reservation or "", None) is not None:
            self.running.append(run)
        else:
            self.waiting.append(run)
        self._wake(now)

    def cancel(self, run: EngineRun) -> None:
        """Remove a run whose caller has disconnected."""
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)

    def crash(self, now: float) -> None:
        """Stop the engine; all its runs are lost."""
        self.crashed = True
        for run in [*self.running, *self.waiting]:
            run.on_lost(now)
        self.running, self.waiting = [], []
        self._reservation_by_name = {}

    def report(self, now: float) -> EngineReport:
        """Return a load report."""
        return EngineReport(
            running=len(self.running),
            queued=len(self.waiting),
            used=self.used,
            total=self.parameters.memory,
            taken=now,
            tokens_by_run={run.name: run.tokens for run in self.running},
        )

    def _expire_reservations(self, now: float) -> None:
        for name, (until, _) in list(self._reservation_by_name.items()):
            if until < now:
                del self._reservation_by_name[name]

    def _wake(self, now: float) -> None:
        if not self._busy:
            self._busy = True
            self._schedule(now, lambda: self._step(now))

    def _step(self, now: float) -> None:
        """Start a step, which generates tokens and prefills a chunk of one prompt."""
        self._admit()
        if self.crashed or not self.running:
            self._busy = False
            return
        parameters = self.parameters
        seconds = parameters.step_seconds + parameters.run_seconds * len(self.running)
        prefilling = next((run for run in self.running if run.unprefilled), None)
        if prefilling is not None:
            chunk = min(PREFILL_CHUNK_TOKENS, prefilling.unprefilled)
            prefilling.unprefilled -= chunk
            prefilling.cached += chunk
            seconds += chunk / parameters.read_rate
        ends = now + seconds
        self._schedule(ends, lambda: self._end_step(ends))

    def _end_step(self, now: float) -> None:
        for run in [run for run in self.running if not run.unprefilled]:
            if run not in self.running:
                continue
            if self.used >= self.parameters.memory:
                self._preempt()
            if run not in self.running:
                continue
            run.generated += 1
            run.cached += 1
            is_last = run.generated >= run.length
            if is_last:
                self.running.remove(run)
            run.on_token(now, is_last)
        self._step(now)

    def _admit(self) -> None:
        """Start waiting runs in order of priority, as capacity allows."""
        self.waiting.sort(key=lambda run: run.priority)
        while self.waiting and len(self.running) < self.parameters.slots:
            run = self.waiting[0]
            pending_prefill = sum(other.unprefilled for other in self.running)
            if self.used + pending_prefill + run.unprefilled > self.parameters.memory:
                return
            self.running.append(self.waiting.pop(0))

    def _preempt(self) -> None:
        """Preempt the newest run of the lowest priority; it is prefilled again."""
        lowest = max(run.priority for run in self.running)
        run = [run for run in self.running if run.priority == lowest][-1]
        self.running.remove(run)
        self.preempted += 1
        self.wasted_prefill_tokens += run.cached
        run.unprefilled, run.cached = run.prompt + run.generated, 0
        self.waiting.insert(0, run)
