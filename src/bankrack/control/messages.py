"""Messages between nodes, encoded with MessagePack.

Messages are encoded as arrays, so the order of their fields is the format.
"""

import msgspec

from bankrack.control.configuration import Document


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """The state of a node, sent by itself and forwarded by others.

    :param incarnation: increases with each start of the node.
    :param counter: increases with each heartbeat of that incarnation.
    :param revision: configuration revision in force on the node.
    """

    name: str
    address: str
    region: str
    hall: str
    incarnation: int
    counter: int
    revision: int
    draining: bool


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Member records, beginning with the sender's own."""

    records: list[MemberRecord]


class DocumentRequest(msgspec.Struct, frozen=True, array_like=True, tag="document?"):
    """Requests the configuration document in force."""


class DocumentReply(msgspec.Struct, frozen=True, array_like=True, tag="document"):
    """The configuration document in force on the peer, if any."""

    document: Document | None


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag="claim?"):
    """Requests that the shard's designated writer claims a key.

    :param bucket: time bucket of the key.
    :param claim_id: hash of workspace and key, 16 bytes.
    :param attempt: random id of the attempt, 8 bytes.
    """

    bucket: int
    claim_id: bytes
    attempt: bytes


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Tells whether the attempt holds the claim."""

    granted: bool


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag="place?"):
    """Requests a slot from the owner of a group.

    The request may be repeated with the same id: a granted slot is granted
    again.

    :param id: number of the slot, unique on the requesting node.
    :param prefix: hash of the beginning of the prompt.
    :param wait_seconds: how long the request may still wait.
    :param avoid: names of upstreams that failed the request or are ejected.
    """

    group: str
    id: int
    workspace: str
    service: str
    prompt_tokens: int
    max_tokens: int
    prefix: str
    wait_seconds: float
    avoid: list[str]


class SlotReply(msgspec.Struct, frozen=True, array_like=True, tag="place"):
    """Replies to a :class:`SlotRequest`, at once or after it was queued.

    :param upstream: granted upstream; empty while queued or if refused.
    :param queued: whether a further reply follows.
    :param retry_after: seconds until a retry is sensible, if refused.
    :param reason: reason of the refusal.
    """

    id: int
    upstream: str = ""
    queued: bool = False
    retry_after: float = 0.0
    reason: str = ""


class SlotProgress(msgspec.Struct, frozen=True, array_like=True):
    """The number of tokens that a request with a slot has produced."""

    id: int
    produced: int


class Progress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """All slots of a group that the sender holds, and its waiting requests.

    It replaces the owner's records of the sender.

    :param waiting: ids of the waiting requests.
    """

    group: str
    held: list[SlotProgress]
    waiting: list[int]


class DetailsRequest(msgspec.Struct, frozen=True, array_like=True, tag="details?"):
    """Requests the details of slots that another owner granted."""

    group: str
    ids: list[int]


class SlotDetails(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The details of a request that holds a slot."""

    id: int
    upstream: str
    workspace: str
    service: str
    prompt_tokens: int
    max_tokens: int
    produced: int


class DetailsReply(msgspec.Struct, frozen=True, array_like=True, tag="details"):
    """Replies to a :class:`DetailsRequest`."""

    group: str
    slots: list[SlotDetails]


class SlotReleased(msgspec.Struct, frozen=True, array_like=True, tag="ended"):
    """A slot was released, or its request no longer waits.

    :param length: tokens produced; -1 if the run did not reach its end.
    """

    group: str
    id: int
    length: int


class Failure(msgspec.Struct, frozen=True, array_like=True, tag="failure"):
    """A handler failed with a typed error.

    :param code: code of the error.
    :param retry_after: seconds until a retry is sensible, if known.
    """

    code: str
    message: str
    retry_after: float | None


Body = (
    Heartbeat
    | DocumentRequest
    | DocumentReply
    | ClaimRequest
    | ClaimReply
    | SlotRequest
    | SlotReply
    | Progress
    | DetailsRequest
    | DetailsReply
    | SlotReleased
    | Failure
)


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A message in an envelope.

    :param request: number of the request, 0 if no reply is expected.
    :param reply: number of the request that this replies to, 0 if none.
    """

    body: Body
    request: int = 0
    reply: int = 0


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one node to another.

    :param address: ``ip:port`` on which the sender listens.
    :param incarnation: increases with each start of the sender.
    :param sequence: increases with each envelope of that incarnation.
    """

    sender: str
    address: str
    incarnation: int
    sequence: int
    items: list[Item]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decode an envelope; raises :class:`msgspec.DecodeError`."""
    return _DECODER.decode(data)
