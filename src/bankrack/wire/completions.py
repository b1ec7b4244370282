"""Requests and responses of the OpenAI-compatible API."""

import typing as t

import msgspec

from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvalidRequest

CHAT = "chat"
TEXT = "text"
MAX_PROMPT_CHARACTERS = 2_000_000
CHARACTERS_PER_TOKEN = 4


class ContentPart(msgspec.Struct):
    """One part of a chat message's content; only text is supported."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct):
    """One chat message."""

    role: str
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = False


class CompletionRequest(msgspec.Struct):
    """A text or chat completion request.

    ``model`` is the name of a service.  Unknown fields are ignored.
    """

    model: str
    prompt: str | list[str] | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    n: int = 1
    stop: str | list[str] | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None

    @property
    def includes_usage(self) -> bool:
        """Whether a streamed response ends with an event that carries its usage."""
        return self.stream_options is not None and self.stream_options.include_usage


class Usage(msgspec.Struct):
    """Token counts of one request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class Delta(msgspec.Struct, gc=False):
    """An increment of a chat response."""

    content: str | None = None


class Choice(msgspec.Struct, gc=False):
    """One choice in an engine's event, with text or a chat delta."""

    text: str = ""
    delta: Delta | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct, gc=False):
    """One event of an engine's stream."""

    choices: list[Choice]
    usage: Usage | None = None

    @property
    def text(self) -> str:
        """The generated text in this event."""
        choice = self.choices[0]
        if choice.delta is not None:
            return choice.delta.content or ""
        return choice.text


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """The error in the form that clients of the API expect."""

    message: str
    type: str
    code: str
    outcome: str
    param: str | None = None
    retry_after: float | None = None


class ErrorEnvelope(msgspec.Struct):
    """The body of an error response."""

    error: ErrorBody


_encode = msgspec.json.Encoder().encode
_REQUEST_DECODER = msgspec.json.Decoder(CompletionRequest)


def decode_request(body: bytes, kind: str) -> CompletionRequest:
    """Decode and validate a request body; raises :exc:`InvalidRequest`."""
    try:
        request = _REQUEST_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequest(
            f"the body is not a completion request: {error}; correct it"
        ) from error
    if request.n != 1:
        raise InvalidRequest("n must be 1; send one request for each answer")
    if kind == CHAT and not request.messages:
        raise InvalidRequest("messages is missing or empty; add one message or more")
    if kind == TEXT and not isinstance(request.prompt, str):
        raise InvalidRequest("prompt must be one string; send one request for each")
    tokens = output_limit(request)
    if tokens is not None and tokens < 1:
        raise InvalidRequest("max_tokens must be at least 1; raise it or leave it out")
    if prompt_characters(request) > MAX_PROMPT_CHARACTERS:
        raise InvalidRequest("the prompt is too long; shorten it")
    return request


def output_limit(request: CompletionRequest) -> int | None:
    """Return the caller's limit on the output in tokens, if any."""
    return request.max_completion_tokens or request.max_tokens


def prompt_text(request: CompletionRequest) -> str:
    """Return the prompt, or the text of all messages, as one string."""
    if isinstance(request.prompt, str):
        return request.prompt
    return "\n".join(_message_text(item) for item in request.messages or [])


def prompt_characters(request: CompletionRequest) -> int:
    """Return the length of the prompt in characters."""
    return len(prompt_text(request))


def prompt_tokens(request: CompletionRequest) -> int:
    """Return the length of the prompt in tokens, estimated from its characters."""
    return prompt_characters(request) // CHARACTERS_PER_TOKEN + 1


def error_envelope(error: BankrackError) -> bytes:
    """Encode the body of an error response."""
    kind = "invalid_request_error" if error.status < 500 else "server_error"
    body = ErrorBody(
        message=error.message,
        type=kind,
        code=error.code,
        outcome=error.outcome.value,
        retry_after=error.retry_after,
    )
    return msgspec.json.encode(ErrorEnvelope(body))


class ChunkWriter:
    """Encodes the events of one stream.

    The constant parts of the events are encoded once.

    :param handle: signed handle that is part of each event's id.
    :param kind: :data:`CHAT` or :data:`TEXT`.
    :param created: Unix time in seconds.
    """

    __slots__ = ("_event_prefix", "_id_prefix", "_text_end", "kind")

    def __init__(
        self, *, handle: str, kind: str, request_id: str, created: int, service: str
    ) -> None:
        self.kind = kind
        name = "chat.completion.chunk" if kind == CHAT else "text_completion"
        fields = msgspec.json.encode(
            {"id": request_id, "object": name, "created": created, "model": service}
        )
        opening = b',"choices":[{"index":0,'
        opening += b'"delta":{"content":' if kind == CHAT else b'"text":'
        self._event_prefix = b"\ndata: " + fields[:-1] + opening
        self._text_end = b"}" if kind == CHAT else b""
        self._id_prefix = b"id: " + handle.encode() + b":"

    def token(self, offset: int, text: str, finish_reason: str | None) -> bytes:
        """Encode an event that carries text."""
        reason = b"null" if finish_reason is None else _encode(finish_reason)
        return b'%b%d%b%b%b,"logprobs":null,"finish_reason":%b}]}\n\n' % (
            self._id_prefix,
            offset,
            self._event_prefix,
            _encode(text),
            self._text_end,
            reason,
        )

    def usage(self, offset: int, usage: Usage) -> bytes:
        """Encode the event that carries the token counts."""
        head = self._event_prefix[: self._event_prefix.index(b',"choices"')]
        body = msgspec.json.encode(usage)
        return b'%b%d%b,"choices":[],"usage":%b}\n\n' % (
            self._id_prefix,
            offset,
            head,
            body,
        )

    def done(self, offset: int) -> bytes:
        """Encode the event that marks the end of a complete stream."""
        return b"%b%d\ndata: [DONE]\n\n" % (self._id_prefix, offset)


def completion_response(
    *,
    kind: str,
    request_id: str,
    created: int,
    service: str,
    text: str,
    finish_reason: str,
    usage: Usage,
) -> bytes:
    """Encode the body of a response that is not streamed."""
    choice: dict[str, t.Any] = {"index": 0, "finish_reason": finish_reason}
    choice["logprobs"] = None
    if kind == CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": "chat.completion" if kind == CHAT else "text_completion",
            "created": created,
            "model": service,
            "choices": [choice],
            "usage": usage,
        }
    )


def _message_text(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content or [])
