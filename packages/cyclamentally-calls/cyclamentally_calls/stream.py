"""Non-blocking TCP connections and listeners on the event loop."""

from abc import ABC, abstractmethod
from errno import EINPROGRESS
from os import strerror
from select import EPOLLIN, EPOLLOUT
from socket import (
    AF_INET,
    IPPROTO_TCP,
    MSG_PEEK,
    SHUT_WR,
    SO_ERROR,
    SO_KEEPALIVE,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)

from cyclamentally_calls.decoding import parse_address
from cyclamentally_calls.loop import ERROR_EVENTS

# Size of the buffer that each read allocates.
READ_BYTES = 65_536
# Must hold the connections that all callers of a failure domain open at once.
BACKLOG = 512
# Time without accepting after accept has failed, for example for lack of a free
# descriptor; connections wait in the kernel's backlog.
ACCEPT_RETRY_DELAY_S = 0.1
# A dead peer on an idle connection is detected within 1 + 2 x 1 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MS_PER_S = 1_000


class StreamOwner(ABC):
    """Receiver of the events of a stream."""

    __slots__ = ()

    @abstractmethod
    def on_connected(self):
        """Handle that the connection is established."""

    @abstractmethod
    def on_bytes(self, data):
        """Handle received bytes."""

    @abstractmethod
    def on_end(self, reason):
        """Handle that the stream has ended.

        Parameters
        ----------
        reason : str
            The error; empty if the peer closed the connection orderly.
        """


class Stream:
    """One TCP connection with a write buffer.

    Parameters
    ----------
    loop : Loop
        Event loop.
    connection : socket.socket
        Connected or connecting socket, non-blocking.
    owner : StreamOwner
        Receiver of the events.
    is_connected : bool
        Whether the socket is connected already.
    """

    __slots__ = (
        "descriptor",
        "events",
        "is_connected",
        "is_open",
        "is_half_closed",
        "loop",
        "owner",
        "paced_bytes",
        "sent_bytes",
        "socket",
        "unsent",
    )

    def __init__(self, loop, connection, owner, is_connected=True):
        self.loop = loop
        self.socket = connection
        self.descriptor = connection.fileno()
        self.owner = owner
        self.is_connected = is_connected
        self.is_open = True
        self.is_half_closed = False
        self.unsent = bytearray()
        # Number of bytes that a `Pacer` still holds for this stream.
        self.paced_bytes = 0
        self.sent_bytes = 0
        self.events = EPOLLIN if is_connected else EPOLLOUT
        loop.watch(self.descriptor, self.events, self._on_events, self.abort)

    def write(self, data):
        """Send bytes now, or buffer them until the socket is writable."""
        if not self.is_open:
            return
        if self.unsent or not self.is_connected:
            self.unsent += data
            return
        try:
            taken = self.socket.send(data)
        except BlockingIOError:
            taken = 0
        except OSError as error:
            self._end(str(error))
            return
        self.sent_bytes += taken
        if taken < len(data):
            self.unsent += data[taken:]
            self._wait_for(EPOLLIN | EPOLLOUT)

    def has_input(self):
        """Whether unread bytes, a close or an error have arrived."""
        try:
            self.socket.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def write_paced(self, data):
        """Send the next bytes that the `Pacer` has released."""
        self.paced_bytes -= len(data)
        self.write(data)
        if self.is_half_closed and self.is_open and not self.has_unsent():
            self._shut_down()

    def has_unsent(self):
        """Whether bytes are buffered here or held by a `Pacer`."""
        return bool(self.unsent) or self.paced_bytes > 0

    def half_close(self):
        """Half-close the connection once all bytes have been sent."""
        self.is_half_closed = True
        if not self.has_unsent():
            self._shut_down()

    def close(self):
        """Close the socket; the owner is not notified."""
        if self.is_open:
            self.is_open = False
            self.loop.unwatch(self.descriptor)
            self.socket.close()

    def abort(self):
        """End the connection after an unexpected error of its owner."""
        self._end("unexpected error")

    def read_pending(self):
        """Read the bytes that have arrived already."""
        while self.is_open and self.is_connected and self.has_input():
            if not self.loop.attempt(self._read):
                self.abort()

    def set_ack_timeout(self, timeout_s):
        """Break the connection if the peer acknowledges nothing.

        Parameters
        ----------
        timeout_s : float
            Time without acknowledgement of sent bytes, in seconds.
        """
        self.socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, int(timeout_s * MS_PER_S))
        self.socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        self.socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        self.socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        self.socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)

    def _shut_down(self):
        try:
            self.socket.shutdown(SHUT_WR)
        except OSError as error:
            self._end(str(error))

    def _on_events(self, events):
        if not self.is_connected:
            self._finish_connect()
            return
        if events & EPOLLOUT:
            self._flush()
        if self.is_open and events & (EPOLLIN | ERROR_EVENTS):
            self._read()

    def _finish_connect(self):
        error = self.socket.getsockopt(SOL_SOCKET, SO_ERROR)
        if error:
            self._end(f"connect failed: errno {error}")
            return
        self.is_connected = True
        self._wait_for(EPOLLIN)
        self.owner.on_connected()
        if self.is_open and self.unsent:
            self._flush()

    def _flush(self):
        try:
            taken = self.socket.send(self.unsent)
        except BlockingIOError:
            taken = 0
        except OSError as error:
            self._end(str(error))
            return
        self.sent_bytes += taken
        del self.unsent[:taken]
        self._wait_for(EPOLLIN | EPOLLOUT if self.unsent else EPOLLIN)
        if self.is_half_closed and not self.has_unsent():
            self._shut_down()

    def _read(self):
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(str(error))
            return
        if data:
            self.owner.on_bytes(data)
        else:
            self._end("")

    def _wait_for(self, events):
        if events != self.events:
            self.events = events
            self.loop.modify(self.descriptor, events)

    def _end(self, reason):
        if self.is_open:
            self.close()
            self.owner.on_end(reason)


class Listener:
    """A listening TCP socket.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` to listen on.
    on_socket : callable
        Takes each accepted socket.
    on_failure : callable
        Takes the address and the error if accept fails.
    """

    __slots__ = ("address", "loop", "on_failure", "on_socket", "socket")

    def __init__(self, loop, address, on_socket, on_failure):
        self.loop = loop
        self.address = address
        self.on_socket = on_socket
        self.on_failure = on_failure
        self.socket = None

    @property
    def port(self):
        """Bound port."""
        return self.socket.getsockname()[1]

    def start(self):
        """Bind and listen."""
        self.socket = socket(AF_INET, SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self.socket.bind(split_address(self.address))
        self.socket.listen(BACKLOG)
        self.loop.watch(self.socket.fileno(), EPOLLIN, self._accept)

    def close(self):
        """Accept the connections that are established already and stop listening."""
        if self.socket is not None:
            self._accept(EPOLLIN)
            self.loop.unwatch(self.socket.fileno())
            self.socket.close()
            self.socket = None

    def _accept(self, events):
        while self.socket is not None:
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._pause(str(error))
                return
            if not self.loop.attempt(self._pass_on, connection):
                connection.close()

    def _pass_on(self, connection):
        connection.setblocking(False)
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.on_socket(connection)

    def _pause(self, reason):
        """Stop polling for a while: the socket stays readable while accept fails."""
        self.on_failure(self.address, reason)
        self.loop.unwatch(self.socket.fileno())
        self.loop.call_after(ACCEPT_RETRY_DELAY_S, self._resume)

    def _resume(self):
        if self.socket is not None:
            self.loop.watch(self.socket.fileno(), EPOLLIN, self._accept)


class UnopenedStream(Stream):
    """A connection that could not be opened; ends with the next timers of the loop.

    Parameters
    ----------
    loop : Loop
        Event loop.
    owner : StreamOwner
        Receiver of the end.
    reason : str
        Why it could not be opened.
    """

    __slots__ = ("timer",)

    def __init__(self, loop, owner, reason):
        self.loop = loop
        self.owner = owner
        self.is_connected = False
        self.is_open = True
        self.is_half_closed = False
        self.unsent = bytearray()
        self.paced_bytes = 0
        self.sent_bytes = 0
        # The owner does not have the stream yet.
        self.timer = loop.call_after(0, lambda: self._end(reason))

    def set_ack_timeout(self, timeout_s):
        """Do nothing: no bytes are sent."""

    def close(self):
        """Prevent the notification of the owner."""
        self.is_open = False
        self.timer.cancel()


def connect(loop, address, owner):
    """Start to connect to ``IP:port``; returns the `Stream`.

    An address that is invalid or cannot be reached ends the stream later.
    """
    target = parse_address(address)
    if target is None:
        return UnopenedStream(loop, owner, "not an IP:port to connect to")
    connection = None
    try:
        connection = socket(AF_INET, SOCK_STREAM)
        connection.setblocking(False)
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        error = connection.connect_ex(target)
        if error not in (0, EINPROGRESS):
            raise OSError(error, strerror(error))
        return Stream(loop, connection, owner, is_connected=False)
    except OSError as error:
        if connection is not None:
            connection.close()
        return UnopenedStream(loop, owner, str(error))


def split_address(address):
    """Return the host and the port of the ``IP:port`` of a listener."""
    host, _, port = address.rpartition(":")
    return host, int(port)
