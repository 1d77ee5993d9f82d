"""The thread of the event loop that answers callers."""

from collections import deque
from select import EPOLLIN
from socket import socketpair
from threading import Thread

from absl.logging import get_absl_logger
from pykka import ThreadingFuture

from cyclamentally_calls.loop import Loop
from cyclamentally_node.events import CountInFlight

logger = get_absl_logger()

WAKE_BYTES = 4096
# Longest wait for an answer of the task, in seconds; it never blocks.
ASK_S = 10.0


class CallsLoop:
    """Run one task on an event loop in a thread of its own.

    Other threads reach the task by messages, which a socket announces to the
    loop.

    Parameters
    ----------
    make_task : callable
        Takes the loop and this object, returns the `Task`.
    """

    __slots__ = ("inbox", "loop", "receiving", "sending", "task", "thread")

    def __init__(self, make_task):
        self.loop = Loop()
        self.inbox = deque()
        self.receiving, self.sending = socketpair()
        for end in (self.receiving, self.sending):
            end.setblocking(False)
        self.task = make_task(self.loop, self)
        self.thread = Thread(target=self._run, name="calls", daemon=True)

    def start(self):
        """Open the sockets of the task and begin to serve."""
        self.loop.watch(self.receiving.fileno(), EPOLLIN, self._take_messages)
        self.task.start()
        self.thread.start()

    def close(self):
        """Close all sockets in the thread that owns them, and wait for it."""
        if self.thread.is_alive():
            self.tell(None)
            self.thread.join()
        self.sending.close()

    def tell(self, message):
        """Hand a message to the task; from any thread."""
        self.inbox.append(message)
        try:
            self.sending.send(b"\0")
        except BlockingIOError:
            # A full socket announces this message too.
            return
        except OSError as error:
            logger.info("calls: %s after the end: %s", type(message).__name__, error)

    def count_in_flight(self):
        """Return the number of requests that are not answered yet."""
        future = ThreadingFuture()
        self.tell(CountInFlight(future))
        return future.get(timeout=ASK_S)

    def _run(self):
        self.loop.run()
        self.task.close()
        self.loop.unwatch(self.receiving.fileno())
        self.receiving.close()
        self.loop.close()

    def _take_messages(self, events):
        self.receiving.recv(WAKE_BYTES)
        while self.inbox:
            message = self.inbox.popleft()
            if message is None:
                self.loop.stop()
                return
            self.loop.post(self.task, message)
