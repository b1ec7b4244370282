"""Choosing the upstream for a request and holding its place there."""

import itertools
import typing as t

import msgspec

from bankrack.exceptions import NoUpstream
from bankrack.health import Health
from bankrack.intent import Intent
from bankrack.intent import Service
from bankrack.intent import Upstream

NO_UPSTREAM_RETRY_AFTER = 2.0


class Ask(msgspec.Struct, frozen=True):
    """What is known of a request when it asks for a place."""

    request_id: str
    workspace: str
    service: Service
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""


class Placement(msgspec.Struct, frozen=True):
    """A place on an upstream, held until released."""

    id: int
    upstream: Upstream
    ask: Ask


class Admission(t.Protocol):
    """Grants places on upstreams."""

    async def place(self, ask: Ask, *, avoid: tuple[str, ...] = ()) -> Placement:
        """Wait for a place; raises a typed error when there will be none."""
        ...

    def release(self, placement: Placement, *, produced: int, finished: bool) -> None:
        """Give a place back."""
        ...


class FewestInFlight:
    """Grants at once, on the upstream with the fewest own requests."""

    def __init__(self, intent: t.Callable[[], Intent], health: Health) -> None:
        self._intent = intent
        self._health = health
        self._ids = itertools.count(1)
        self.in_flight_by_upstream: dict[str, int] = {}

    async def place(self, ask: Ask, *, avoid: tuple[str, ...] = ()) -> Placement:
        """Choose the usable upstream with the fewest requests in flight."""
        candidates = [
            upstream
            for upstream in self._intent().upstreams_of(ask.service)
            if upstream.name not in avoid and self._health.usable(upstream.name)
        ]
        if not candidates:
            raise no_upstream(ask.service)
        counts = self.in_flight_by_upstream
        chosen = min(candidates, key=lambda u: counts.get(u.name, 0))
        counts[chosen.name] = counts.get(chosen.name, 0) + 1
        self._health.started(chosen.name)
        return Placement(next(self._ids), chosen, ask)

    def release(self, placement: Placement, *, produced: int, finished: bool) -> None:
        """Give a place back."""
        self.in_flight_by_upstream[placement.upstream.name] -= 1


def no_upstream(service: Service) -> NoUpstream:
    """Make the error for a service that nothing serves now."""
    return NoUpstream(
        f"no upstream serves {service.name} now; try again",
        retry_after=NO_UPSTREAM_RETRY_AFTER,
    )
