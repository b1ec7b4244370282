"""Messages between nodes and the owner of a pool."""

import logging
import typing as t

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.fleet.reports import ReportMessage

_logger = logging.getLogger(__name__)

RunUpdateKind = t.Literal["placed", "began", "failed", "ended", "copy_dropped", "paced"]


class PlacementQuery(msgspec.Struct, array_like=True):
    """Asks the pool owner for engines for a run; sizes in tokens.

    :param pool: index of the run's first pool, out of ``pools``.
    :param avoid: ids of engines that must not be used.
    :param rank: of the workspace, then of the route; the smallest has priority.
    :param due: seconds until the run is late; negative if it already is.
    :param left: seconds until the final response is due.
    :param silence_left: seconds until the caller gives up if nothing is sent.
    :param cold_rate: runs per second that the owner may place on a cold engine; 0 if
        unlimited.
    :param copy: whether the query is for a copy of a run that is already placed.
    """

    service: str
    pool: int
    pools: t.Annotated[int, msgspec.Meta(ge=1)]
    run: str
    prompt: int
    output: int
    memory: int
    hall: str
    avoid: list[str]
    rank: tuple[int, int] = (0, 0)
    due: float = 0.0
    left: float = 0.0
    silence_left: float = 0.0
    cold_rate: float = 0.0
    copy: bool = False


class PlacementResponse(msgspec.Struct, array_like=True):
    """Engines for a run, or the time until the next query.

    :param ids: of engines, the best first.
    :param reports: of these engines, if followers do not receive them anyway.
    :param verdict: ``admit``, ``wait`` or ``refuse``.
    :param seconds: until the next query, if the run waits.
    :param ahead: runs ahead in the admission queue.
    :param expected: estimated seconds until the run is admitted, if known.
    :param backup_fits: whether the pool also has memory for a backup of the run.
    """

    ids: list[str]
    reports: list[ReportMessage]
    verdict: t.Literal["admit", "wait", "refuse"] = "admit"
    seconds: float = 0.0
    ahead: int = 0
    expected: float | None = None
    backup_fits: bool = False


def encode_verdict(verdict: Verdict, reports: list[ReportMessage]) -> PlacementResponse:
    """Encode a verdict and the engine reports that belong to it."""
    match verdict:
        case Admit(engines, backup_fits):
            return PlacementResponse(list(engines), reports, backup_fits=backup_fits)
        case Wait(seconds, ahead, expected):
            return PlacementResponse([], [], "wait", seconds, ahead, expected)
        case Refuse(ahead, expected):
            return PlacementResponse([], [], "refuse", 0.0, ahead, expected)


def decode_verdict(message: PlacementResponse) -> Verdict:
    """Decode a verdict."""
    match message.verdict:
        case "admit":
            return Admit(tuple(message.ids), backup_fits=message.backup_fits)
        case "wait":
            return Wait(message.seconds, message.ahead, message.expected)
        case "refuse":
            return Refuse(message.ahead, message.expected or 0.0)


class RunUpdate(msgspec.Struct, array_like=True):
    """Reports the progress of a run to the pool owner.

    :param kind: ``placed``, ``began``, ``failed`` (of the engine), ``ended`` or
        ``copy_dropped``.
    :param took: seconds from the send to the first event, or from there to the last.
    """

    service: str
    pool: int
    run: str
    kind: RunUpdateKind
    engine: str = ""
    prompt: int = 0
    output: int = 0
    took: float = 0.0


class PaceUpdate(RunUpdate, array_like=True):
    """A run update of a service whose engines are uneven.

    For the kind ``paced``, ``took`` is the usual gap between events in seconds.

    :param events: number of gaps.
    :param longest: longest gap in seconds.
    :param gap_target: longest gap in seconds that the caller accepts.
    :param target_latency: of the run's route, in seconds.
    :param stated: how long work took on the engine as the run began, as a multiple of
        the usual; 0 if not stated.
    """

    events: int = 0
    longest: float = 0.0
    gap_target: float = 0.0
    target_latency: float = 0.0
    stated: float = 0.0


def decode_message(body: bytes, message_type: t.Any) -> t.Any:
    """Decode a message of another node; rejects and logs a malformed one."""
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        logs.event(_logger, "peer_message_invalid", reason=str(error))
        raise web.HTTPBadRequest(text=str(error)) from error
