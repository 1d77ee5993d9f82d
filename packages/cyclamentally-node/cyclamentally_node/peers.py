"""Tasks that own the sockets for messages between nodes."""

from socket import ntohs

from absl.logging import get_absl_logger
from pykka import ThreadingActor
from pynng import Pull0, Push0, Timeout, TryAgain
from pynng.exceptions import NNGException

from cyclamentally.effects import Count
from cyclamentally.errors import Refused
from cyclamentally_node.claim_task import CLAIM_MESSAGES
from cyclamentally_node.peer_codec import (
    MAX_MESSAGE_BYTES,
    decode_message,
    encode_message,
)
from cyclamentally_node.task_messages import (
    PeerMessageReceived,
    ReceiveNext,
    RecordCounts,
    SendToPeers,
)

logger = get_absl_logger()

RECEIVE_TIMEOUT_MS = 500
SEND_QUEUE_MESSAGES = 64
MAX_LINKS = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000


class PeerReceiver(ThreadingActor):
    """Own the listening socket; pass on decoded messages to other tasks.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    region : str
        Region of this node.
    control, claims : pykka.ActorRef
        Receivers of the messages; messages on claims go to ``claims``.
    meters : pykka.ActorRef
        Task that keeps the metrics.
    """

    use_daemon_thread = True

    def __init__(self, address, region, control, claims, meters):
        super().__init__()
        self.region = region
        self.control = control
        self.claims = claims
        self.meters = meters
        self.socket = Pull0(recv_timeout=RECEIVE_TIMEOUT_MS)
        self.socket.recv_max_size = MAX_MESSAGE_BYTES
        self.socket.listen(f"tcp://{address}")

    @property
    def port(self):
        """Port on which the socket listens."""
        return ntohs(self.socket.listeners[0].local_address.port)

    def on_start(self):
        """Begin to receive."""
        self.actor_ref.tell(ReceiveNext())

    def on_receive(self, message):
        """Receive one message, then schedule the next receive."""
        self._receive()
        self.actor_ref.tell(ReceiveNext())

    def on_stop(self):
        """Close the socket."""
        self.socket.close()

    def _receive(self):
        try:
            data = self.socket.recv()
        except Timeout:
            return
        decoded = decode_message(data)
        if isinstance(decoded, Refused):
            count = Count("messages_refused_total", decoded.kind)
            self.meters.tell(RecordCounts([count]))
            return
        message = decoded.value
        pair = f"{message.sender.region}>{self.region}"
        kind = type(message).__name__
        count = Count("peer_bytes_received_total", pair, len(data), kind)
        self.meters.tell(RecordCounts([count]))
        is_claim = isinstance(message, CLAIM_MESSAGES)
        receiver = self.claims if is_claim else self.control
        receiver.tell(PeerMessageReceived(message, len(data)))


class PeerSender(ThreadingActor):
    """Own the sockets to other nodes; drop messages if a send queue is full.

    Later probes and digests repair what a lost message would have changed.

    Parameters
    ----------
    region : str
        Region of this node.
    meters : pykka.ActorRef
        Task that keeps the metrics.
    """

    use_daemon_thread = True

    def __init__(self, region, meters):
        super().__init__()
        self.region = region
        self.meters = meters
        self.links = {}

    def on_receive(self, message):
        """Send the messages of a `SendToPeers`; encode each only once."""
        if not isinstance(message, SendToPeers):
            return
        counts = []
        encoded = {}
        for send in message.sends:
            key = id(send.message)
            if key not in encoded:
                encoded[key] = encode_message(send.message)
            counts.append(self.deliver(send, encoded[key]))
        self.meters.tell(RecordCounts(counts))

    def on_stop(self):
        """Close all sockets."""
        for link in self.links.values():
            link.close()

    def deliver(self, send, data):
        """Send an encoded message to a peer; return the `Count` of its outcome."""
        try:
            self._get_link(send.address).send(data, block=False)
        except TryAgain:
            return Count("messages_dropped_total", "queue_full")
        except NNGException:
            self.links.pop(send.address).close()
            return Count("messages_dropped_total", "link_failed")
        return self.count_sent(send, data)

    def count_sent(self, send, data):
        """Return the `Count` of the bytes of a sent message."""
        pair = f"{self.region}>{send.region or 'unknown'}"
        kind = type(send.message).__name__
        return Count("peer_bytes_sent_total", pair, len(data), kind)

    def _get_link(self, address):
        link = self.links.pop(address, None)
        if link is None:
            link = self._open_link(address)
        # Dictionary order is order of use: the least recently used link is first.
        self.links[address] = link
        return link

    def _open_link(self, address):
        if len(self.links) >= MAX_LINKS:
            oldest = next(iter(self.links))
            self.links.pop(oldest).close()
        link = Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        link.dial(f"tcp://{address}", block=False)
        return link
