"""A run on an engine, as recorded in the ledger of the pool owner."""

import dataclasses

from bankrack.serving.job import Demand

READ_TIMEOUT_SECONDS = 3.0
"""A prompt counts as read after this time, even without a notification."""
MAX_READ_WAITS = 2.0
"""Multiple of the usual wait after which a prompt should have been read."""
NOTIFICATION_SECONDS = 0.25
"""Longest usual delay of the notification that a run began.

A prompt without one by then counts as unread: the engine is slower than estimated."""


@dataclasses.dataclass(slots=True)
class Placement:
    """A run on an engine.

    :param placed: boot-time seconds at which the run was placed.
    :param ahead: unread prompt tokens of the engine when the run was placed.
    :param short_only: the engine was dedicated to short runs at that time.
    :param copy: a stored copy of a run, which generates nothing itself.
    :param gap: usual seconds between its events on the engine; 0 while unknown.
    :param gaps: number of its gaps on the engine.
    :param longest_pause: in seconds, on the engine.
    :param prompts_beside: prompts that were sent to the engine after the run.
    :param began: boot-time seconds at which its first event was reported, if it was.
    :param confirmed: boot-time seconds at which the run was last reported on the
        engine.
    """

    engine: str
    demand: Demand
    placed: float
    ahead: int = 0
    short_only: bool = False
    began: float | None = None
    confirmed: float = 0.0
    copy: bool = False
    gap: float = 0.0
    gaps: int = 0
    longest_pause: float = 0.0
    prompts_beside: int = 0

    @property
    def prompt(self) -> int:
        """Number of prompt tokens."""
        return self.demand.prompt

    def unread(self, now: float, wait_rate: float) -> int:
        """Estimated prompt tokens that the engine still has to read.

        Engines may read faster than notifications arrive: a prompt counts as read once
        it should have been, until its notification is overdue.

        :param wait_rate: prompt tokens per second over the whole wait of a run.
        """
        age = now - self.placed
        if self.began is not None or age > READ_TIMEOUT_SECONDS:
            return 0
        read_by = MAX_READ_WAITS * (self.ahead + self.prompt) / wait_rate
        return 0 if read_by < age < read_by + NOTIFICATION_SECONDS else self.prompt

    def tokens(self, now: float, generated_token_seconds: float) -> float:
        """Estimated tokens that the run holds, including its whole prompt.

        :param generated_token_seconds: seconds per generated token.
        """
        if self.began is None or now < self.began:
            return float(self.prompt)
        return self.prompt + (now - self.began) / generated_token_seconds

    def growth(self, now: float, token_seconds: float) -> float:
        """Tokens by which the run is still expected to grow.

        :param token_seconds: seconds per expected output token.
        """
        output = self.demand.output
        if self.began is None:
            return float(output)
        return max(0.0, output - (now - self.began) / token_seconds)
