"""Requests for engine slots, waiting requests and held slots."""

import asyncio

import msgspec

from bankrack.control.intent import Service
from bankrack.control.intent import Upstream
from bankrack.control.messages import SlotReply
from bankrack.exceptions import NoUpstream
from bankrack.exceptions import Overloaded

NO_UPSTREAM_RETRY_AFTER = 2.0


class AdmissionRequest(msgspec.Struct, frozen=True):
    """The properties of a request on which admission decides.

    :param prompt_tokens: estimated tokens of the prompt.
    :param prefix: text at the beginning of the prompt, for prefix caches.
    """

    request_id: str
    workspace: str
    service: Service
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""


class EngineSlot:
    """A slot on an upstream, held until released.

    :param owner: the node that granted it; empty if this node decided alone.
    """

    __slots__ = ("group", "id", "owner", "produced", "request", "upstream")

    def __init__(
        self,
        number: int,
        upstream: Upstream,
        request: AdmissionRequest,
        *,
        group: str,
        owner: str,
    ) -> None:
        self.id = number
        self.upstream = upstream
        self.request = request
        self.group = group
        self.owner = owner
        self.produced = 0


class WaitingRequest:
    """A request that waits for its group's owner to reply."""

    __slots__ = ("future", "group", "id", "request")

    def __init__(self, number: int, request: AdmissionRequest, group: str) -> None:
        self.id = number
        self.request = request
        self.group = group
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[SlotReply] = loop.create_future()


def no_upstream_error(service: Service) -> NoUpstream:
    """Create the error for a service without a usable upstream."""
    return NoUpstream(
        f"no upstream serves {service.name} at present; try again",
        retry_after=NO_UPSTREAM_RETRY_AFTER,
    )


def overloaded_error(service: Service, reason: str, retry_after: float) -> Overloaded:
    """Create the error for a request that gets no slot before its deadline."""
    return Overloaded(
        f"{service.name} is overloaded ({reason}); try again after the delay in "
        "Retry-After",
        retry_after=retry_after,
    )
