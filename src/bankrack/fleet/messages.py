"""Messages between nodes and the owner of a pool."""

import functools
import logging
import typing as t

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Queueing
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.fleet.reports import ReportMessage
from bankrack.utils import stable_digest

_logger = logging.getLogger(__name__)

MAX_SECONDS = 86_400.0
"""Limit on the times in a response; a larger one is an error of its sender."""
DIGEST_LENGTH = 12
"""Length of the digests that identify a query; with 48 bits collisions are rare and
only affect the order of waiting runs."""
MAX_DIGEST_LENGTH = 64
"""Longer digests count as unknown; bounds what the owner keeps for each."""

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


class IdentifiedQuery(PlacementQuery, array_like=True):
    """A query that also tells the owner of a crowded pool whose run it is.

    :param workspace: digest of the caller's workspace.
    :param caller: digest that is equal for all attempts of a caller's request.
    :param queue: whether the run is queued if it has to wait.
    """

    workspace: t.Any = ""
    caller: t.Any = ""
    queue: bool = True


@functools.lru_cache(maxsize=1024)
def workspace_digest(workspace: str) -> str:
    """Digest of a workspace's name; empty without a workspace."""
    return stable_digest(workspace).hex()[:DIGEST_LENGTH] if workspace else ""


def is_digest(value: t.Any) -> bool:
    """Whether a value of an identified query can be used; otherwise it is unknown."""
    return isinstance(value, str) and len(value) <= MAX_DIGEST_LENGTH


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
    seconds: t.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)] = 0.0
    ahead: int = 0
    expected: t.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)] | None = None
    backup_fits: bool = False


class QueueingResponse(PlacementResponse, array_like=True):
    """The response to an identified query about a run that is not admitted.

    :param booked: seconds until the return that was booked for the caller, if any.
    :param workspace_share: tokens by which the workspace is ahead of the others.
    :param returning: whether the run is the booked return of its caller.
    """

    booked: t.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)] | None = None
    workspace_share: float = 0.0
    returning: bool = False


def encode_verdict(verdict: Verdict, reports: list[ReportMessage]) -> PlacementResponse:
    """Encode a verdict and the engine reports that belong to it."""
    match verdict:
        case Admit(engines, backup_fits):
            return PlacementResponse(list(engines), reports, backup_fits=backup_fits)
        case Wait(seconds, ahead, expected, queueing):
            bounded = None if expected is None else min(expected, MAX_SECONDS)
            response = PlacementResponse([], [], "wait", seconds, ahead, bounded)
            return _with_queueing(response, queueing)
        case Refuse(ahead, expected, booked, queueing):
            expected = min(expected, MAX_SECONDS)
            response = PlacementResponse([], [], "refuse", 0.0, ahead, expected)
            return _with_queueing(response, queueing, booked)


def _with_queueing(
    response: PlacementResponse, queueing: Queueing | None, booked: float | None = None
) -> PlacementResponse:
    """Add how a run stands in the queue, if its query was identified."""
    if queueing is None:
        return response
    return QueueingResponse(
        response.ids,
        response.reports,
        response.verdict,
        response.seconds,
        response.ahead,
        response.expected,
        response.backup_fits,
        None if booked is None else min(booked, MAX_SECONDS),
        queueing.workspace_share,
        queueing.returning,
    )


def decode_verdict(message: QueueingResponse) -> Verdict:
    """Decode a verdict."""
    queueing = Queueing(message.workspace_share, message.returning)
    match message.verdict:
        case "admit":
            return Admit(tuple(message.ids), backup_fits=message.backup_fits)
        case "wait":
            return Wait(message.seconds, message.ahead, message.expected, queueing)
        case "refuse":
            return Refuse(
                message.ahead, message.expected or 0.0, message.booked, queueing
            )


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
