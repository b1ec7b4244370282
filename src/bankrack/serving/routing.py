"""Routing table of one configuration version: routes, services, workspaces, limits."""

import dataclasses
import typing as t

from bankrack.serving.job import RequestKind


@dataclasses.dataclass(slots=True, frozen=True)
class Backend:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Route of the requests to one host and path prefix.

    :param timeout: seconds until the response must be complete.
    :param target_latency: target seconds to the response or to a stream's first event.
    :param priority: rank; 0 is served first.
    :param max_upstreams: number of upstreams that may receive one request.
    :param public: requests need no API key.
    :param resumable: an interrupted stream may be started anew on another engine.
    :param gap_target: target seconds between a stream's events; 0 if unset.
    """

    name: str
    host: str
    prefix: str
    backends: tuple[Backend, ...]
    kind: RequestKind
    timeout: float
    target_latency: float
    priority: int = 5
    max_upstreams: int = 1
    public: bool = False
    resumable: bool = False
    gap_target: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineTraits:
    """Capabilities of a service's engines; sizes in tokens, times in seconds.

    :param backups: engines keep a backup of a running run on another engine.
    :param copies_runs: engines can copy a running run to another engine on request.
    :param copy_ttl: time until an engine frees an unused copy of a run.
    :param max_reservation_seconds: longest lifetime of a reservation; 0 if reservations
        are unsupported.
    """

    slots: int
    memory: int
    bytes_per_token: float = 0.0
    link_mbps: float = 0.0
    backups: bool = False
    copies_runs: bool = False
    copy_ttl: float = 0.0
    max_reservation_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A group of interchangeable upstreams.

    :param cold_rate: requests a second from all nodes that a cold upstream may
        receive; 0 for no bound.
    :param health_path: path at which an upstream states its name and its load at once;
        empty if unknown.
    """

    name: str
    max_connections: int = 0
    engine: EngineTraits | None = None
    cold_rate: float = 0.0
    health_path: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """Workspace of a caller; a ``priority`` overrides that of the route."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds of request sizes in bytes and of receive and idle times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


class RoutingTable:
    """One version of the configuration, indexed by host, service and API key."""

    __slots__ = (
        "_routes_by_host",
        "keyed",
        "limits",
        "services_by_name",
        "version",
        "workspaces_by_key",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: t.Iterable[Route],
        services: t.Iterable[Service],
        workspaces_by_key: dict[str, Workspace],
        keyed: bool,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.keyed = keyed
        self.limits = limits
        self.services_by_name = {service.name: service for service in services}
        self.workspaces_by_key = workspaces_by_key
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route on ``host`` with the longest prefix of ``path``."""
        by_prefix = self._routes_by_host.get(_host_name(host))
        if not by_prefix:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _host_name(host: str) -> str:
    """Strip the port and convert to lower case."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()
