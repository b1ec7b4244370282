"""Dependencies shared by the relays for all kinds of requests."""

import dataclasses
import math

from bankrack.clock import boottime
from bankrack.metrics import GatewayMetrics
from bankrack.serving.advisor import PlacementAdvisor
from bankrack.serving.budget import SharedRetryBudget
from bankrack.serving.choice import Chooser
from bankrack.serving.client import UpstreamClient
from bankrack.serving.coldquotas import ColdQuotas
from bankrack.serving.crashes import CrashMonitor
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.enginefinder import EngineFinder
from bankrack.serving.failurereports import FailureReporter
from bankrack.serving.outliers import OutlierMonitor
from bankrack.serving.registry import Upstreams


@dataclasses.dataclass(slots=True, frozen=True)
class RelayDependencies:
    """Components that the relays for plain requests and streams share."""

    client: UpstreamClient
    chooser: Chooser
    upstreams: Upstreams
    budget: SharedRetryBudget
    metrics: GatewayMetrics
    cold: ColdQuotas
    crashes: CrashMonitor
    outliers: OutlierMonitor
    failures: FailureReporter


class NodeStop:
    """The end of this node.

    :ivar stops_at: boot-time seconds when the process ends; infinite before its stop.
    """

    __slots__ = ("stops_at",)

    def __init__(self) -> None:
        self.stops_at = math.inf

    def time_left(self) -> float:
        """Seconds until the process ends."""
        return self.stops_at - boottime()


@dataclasses.dataclass(slots=True, frozen=True)
class RunContext:
    """Components that all runs share."""

    dependencies: RelayDependencies
    control: EngineControl
    advisor: PlacementAdvisor
    engine_finder: EngineFinder
    stop: NodeStop
