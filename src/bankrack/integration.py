"""Interface between a platform and the gateway: settings and wire dialects."""

import dataclasses
import typing as t

import aiohttp

from bankrack.decisions.coldstart import ColdTolerance
from bankrack.fleet.documents import Decoder
from bankrack.fleet.store import Store
from bankrack.front.callerserver import CallerDialect
from bankrack.serving.budget import RetryBudgetPolicy
from bankrack.serving.client import UpstreamDialect
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.notices import NoticeHandler

RELOADABLE_SETTINGS = frozenset({"grace", "budget", "cold"})
"""Settings that can be changed without a restart."""


@dataclasses.dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    :param front: ``ip:port`` for callers.
    :param ready: ``ip:port`` for the balancer's readiness checks.
    :param inner: ``ip:port`` for peers, metrics and the state dump.
    :param ready_path: path of the readiness check.
    :param seeds: ``inner`` addresses of other nodes; they may be out of date.
    :param grace: seconds from SIGTERM until the process is killed.
    :param budget: terms of the retry budget.
    :param link_mbps: bandwidth of the VM's network link in Mbit/s.
    :param tunnel: ``ip:port`` at which other nodes request tunnels to upstreams; empty
        if there is no port for it.
    :param memory_mb: memory of the process in MB; 0 if unknown.
    :param cold: by how much requests to a cold upstream may exceed its rate.
    """

    name: str
    hall: str
    front: str
    ready: str
    inner: str
    ready_path: str
    seeds: tuple[str, ...]
    grace: float
    budget: RetryBudgetPolicy
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    tunnel: str = ""
    cold: ColdTolerance = dataclasses.field(default_factory=ColdTolerance)

    def reloaded(
        self, settings: "GatewaySettings"
    ) -> tuple["GatewaySettings", list[str], list[str]]:
        """Return these settings with those of the new ones that a running node takes.

        The lists name the changed settings that are applied, and those that take effect
        at the next start.
        """
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self, field.name)
        ]
        applied = [name for name in changed if name in RELOADABLE_SETTINGS]
        values = {name: getattr(settings, name) for name in applied}
        waiting = [name for name in changed if name not in RELOADABLE_SETTINGS]
        return dataclasses.replace(self, **values), applied, waiting


class GatewayDialect(t.Protocol):
    """Translates between the platform's wire formats and bankrack's types."""

    @property
    def callers(self) -> CallerDialect:
        """Codec for callers' requests and responses."""
        ...

    @property
    def upstreams(self) -> UpstreamDialect:
        """Codec for requests to upstreams and their responses."""
        ...

    @property
    def decode(self) -> Decoder:
        """Decoder of the store's items."""
        ...

    def control(
        self, session: aiohttp.ClientSession, notices: NoticeHandler
    ) -> EngineControl:
        """Create the client for control requests to engines.

        :param session: opens a connection for each request.
        :param notices: receives the notices that engines attach to their responses.
        """
        ...

    def store(self, session: aiohttp.ClientSession) -> Store:
        """Create the client of the store."""
        ...
