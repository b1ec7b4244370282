"""Messaging between nodes over pynng.

A node listens on one pull socket and dials a push socket for each peer that it
sends to.  One task per peer sends the messages in its outbox as one envelope,
signed with the nodes' shared key.  Messages that a peer does not accept are
dropped, and requests without a reply fail with a typed error.
"""

import asyncio
import hashlib
import hmac
import itertools
import logging
import time
import typing as t

import msgspec
import pynng

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control import messages
from bankrack.control.messages import Body
from bankrack.control.messages import Envelope
from bankrack.control.messages import Failure
from bankrack.control.messages import Item
from bankrack.exceptions import BankrackError
from bankrack.exceptions import PeerUnavailable

SIGNATURE_BYTES = 16
BATCH_DELAY_SECONDS = 0.001
"""Time for which messages to a peer are collected into one envelope."""
SEND_TIMEOUT_MS = 500
MAX_OUTBOX_ITEMS = 2000
REPLAY_WINDOW = 256
"""How far an envelope may arrive behind later ones, in sequence numbers."""
CLOSE_TIMEOUT_SECONDS = 2.0
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_logger = logging.getLogger(__name__)

Handler = t.Callable[[str, t.Any], t.Awaitable[Body | None]]


class Peer:
    """The address, outbox and sender task of one peer."""

    __slots__ = ("address", "name", "outbox", "task", "wake")

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.outbox: list[Item] = []
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class ReplayWindow:
    """The envelopes received from one incarnation of a sender, to detect replays.

    Envelopes may arrive out of order, for example when a sender dials twice.
    """

    __slots__ = ("_highest", "_seen", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._highest = 0
        self._seen: set[int] = set()

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; tell whether it is new."""
        if sequence in self._seen or sequence <= self._highest - REPLAY_WINDOW:
            return False
        self._seen.add(sequence)
        self._highest = max(self._highest, sequence)
        if len(self._seen) > 2 * REPLAY_WINDOW:
            oldest = self._highest - REPLAY_WINDOW
            self._seen = {number for number in self._seen if number > oldest}
        return True


class Peers:
    """Sends messages to peers and dispatches received ones to handlers.

    :param name: this node's name.
    :param address: ``ip:port`` to listen on, to which peers send replies.
    :param key: secret shared by all nodes; other messages are discarded.
    """

    def __init__(self, *, name: str, address: str, key: str) -> None:
        self.name = name
        self.address = address
        self.incarnation = time.time_ns()
        self.peers_by_name: dict[str, Peer] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.envelopes_sent = 0
        self.refused = 0
        self.dropped = 0
        self._key = hashlib.sha256(key.encode()).digest()
        self._handlers_by_kind: dict[type, Handler] = {}
        self._futures_by_request: dict[int, asyncio.Future[Body]] = {}
        self._request_numbers = itertools.count(1)
        self._replay_window_by_sender: dict[str, ReplayWindow] = {}
        self._sequence = itertools.count(1)
        self._closing = False
        self._listener: pynng.Pull0 | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()

    def handle(self, kind: type, handler: Handler) -> None:
        """Register the handler of a type of message."""
        self._handlers_by_kind[kind] = handler

    async def start(self) -> None:
        """Start to listen."""
        self._listener = pynng.Pull0(
            listen=f"tcp://{self.address}", recv_max_size=MAX_MESSAGE_BYTES
        )
        self._spawn(self._receive(self._listener))

    async def close(self) -> None:
        """Stop listening and sending.

        A pynng call that completes while being cancelled swallows the
        cancellation, so the loops check a flag and tasks are cancelled repeatedly.
        """
        self._closing = True
        if self._listener is not None:
            self._listener.close()
        deadline = boottime() + CLOSE_TIMEOUT_SECONDS
        while self._tasks and boottime() < deadline:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=0.1)

    def set_peer(self, name: str, address: str) -> None:
        """Add a peer, or change its address."""
        if name == self.name or not address:
            return
        peer = self.peers_by_name.get(name)
        if peer is not None and peer.address == address:
            return
        if peer is not None and peer.task is not None:
            peer.task.cancel()
        self.peers_by_name[name] = Peer(name, address)
        for other in [p for p in self.peers_by_name.values() if p.name != name]:
            if other.address == address:
                # The peer was a seed without a name, or has been renamed.
                self.forget(other.name)

    def add_seed(self, address: str) -> None:
        """Add a peer by its address while its name is unknown."""
        known = {peer.address for peer in self.peers_by_name.values()}
        if address not in known and address != self.address:
            self.set_peer(f"seed-{address}", address)

    def forget(self, name: str) -> None:
        """Remove a peer and its messages."""
        peer = self.peers_by_name.pop(name, None)
        if peer is not None and peer.task is not None:
            peer.task.cancel()
        self._replay_window_by_sender.pop(name, None)

    def send(self, name: str, body: Body) -> None:
        """Send a message that needs no reply; it may be lost."""
        self._enqueue(name, Item(body))

    async def request(self, name: str, body: Body, *, timeout: float) -> Body:
        """Send a request and wait for the reply.

        :param timeout: seconds to wait for the reply.
        :raises PeerUnavailable: no reply arrived in time, or the peer failed.
        """
        number = next(self._request_numbers)
        future: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        self._futures_by_request[number] = future
        try:
            self._enqueue(name, Item(body, request=number))
            async with asyncio.timeout(timeout):
                reply = await future
        except TimeoutError as error:
            raise PeerUnavailable(
                f"peer {name} did not reply within {timeout} s; check that node",
                retry_after=1.0,
            ) from error
        finally:
            del self._futures_by_request[number]
        if isinstance(reply, Failure):
            raise PeerUnavailable(reply.message, retry_after=reply.retry_after)
        return reply

    def _enqueue(self, name: str, item: Item) -> None:
        peer = self.peers_by_name.get(name)
        if peer is None:
            return
        if len(peer.outbox) >= MAX_OUTBOX_ITEMS:
            self.dropped += 1
            return
        peer.outbox.append(item)
        peer.wake.set()
        if peer.task is None:
            peer.task = self._spawn(self._deliver(peer))

    async def _deliver(self, peer: Peer) -> None:
        """Send the messages in a peer's outbox until closed or cancelled."""
        address = f"tcp://{peer.address}"
        with pynng.Push0(send_timeout=SEND_TIMEOUT_MS) as socket:
            socket.dial(address, block=False)
            while not self._closing:
                await peer.wake.wait()
                await asyncio.sleep(BATCH_DELAY_SECONDS)
                peer.wake.clear()
                items, peer.outbox = peer.outbox, []
                data = self._sign(self._envelope(items))
                try:
                    await socket.asend(data)
                except pynng.NNGException:
                    self.dropped += len(items)
                    continue
                self.bytes_sent += len(data)
                self.envelopes_sent += 1

    def _envelope(self, items: list[Item]) -> bytes:
        sequence = next(self._sequence)
        return messages.encode(
            Envelope(self.name, self.address, self.incarnation, sequence, items)
        )

    async def _receive(self, listener: pynng.Pull0) -> None:
        while not self._closing:
            data = await listener.arecv()
            self.bytes_received += len(data)
            try:
                envelope = messages.decode(self._verify(data))
            except (msgspec.DecodeError, ValueError, UnicodeDecodeError):
                self.refused += 1
                logs.event(_logger, "message_refused", level=logging.WARNING)
                continue
            if self._is_replay(envelope):
                self.refused += 1
                continue
            self.set_peer(envelope.sender, envelope.address)
            for item in envelope.items:
                self._dispatch(envelope.sender, item)

    def _is_replay(self, envelope: Envelope) -> bool:
        received = self._replay_window_by_sender.get(envelope.sender)
        if received is None or received.incarnation != envelope.incarnation:
            received = ReplayWindow(envelope.incarnation)
            self._replay_window_by_sender[envelope.sender] = received
        return not received.accept(envelope.sequence)

    def _dispatch(self, sender: str, item: Item) -> None:
        if item.reply:
            future = self._futures_by_request.get(item.reply)
            if future is not None and not future.done():
                future.set_result(item.body)
            return
        handler = self._handlers_by_kind.get(type(item.body))
        if handler is not None:
            self._spawn(self._run_handler(sender, item, handler))

    async def _run_handler(self, sender: str, item: Item, handler: Handler) -> None:
        try:
            body = await handler(sender, item.body)
        except BankrackError as error:
            body = Failure(error.code, error.message, error.retry_after)
        if item.request and body is not None:
            self._enqueue(sender, Item(body, reply=item.request))

    def _sign(self, data: bytes) -> bytes:
        return self._digest(data) + data

    def _verify(self, data: bytes) -> bytes:
        signature, content = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._digest(content)):
            raise ValueError("the envelope's signature does not match")
        return content

    def _digest(self, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, key=self._key, digest_size=SIGNATURE_BYTES
        ).digest()

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Log the error of a task that failed."""
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, pynng.Closed):
            _logger.error("event=peer_task_failed", exc_info=error)
