"""Thread of the event loop that serves callers."""

from collections import deque
from select import EPOLLIN
from socket import socketpair
from threading import Thread

from absl.logging import get_absl_logger
from pykka import ThreadingFuture

from cyclamentally_calls.loop import Loop
from cyclamentally_node.task_messages import CountInFlight

logger = get_absl_logger()

WAKEUP_READ_BYTES = 4096
# Longest wait for a reply of the task, which never blocks.
REPLY_TIMEOUT_S = 10.0


class CallsLoop:
    """Run one task on an event loop in a thread of its own.

    Other threads queue messages for the task and wake up the loop through a
    socket pair.

    Parameters
    ----------
    make_task : callable
        Takes the loop and this object, returns the `Task`.
    """

    __slots__ = ("inbox", "loop", "receiving", "sending", "task", "thread")

    def __init__(self, make_task):
        self.loop = Loop(on_error=_log_unexpected_error)
        self.inbox = deque()
        self.receiving, self.sending = socketpair()
        for end in (self.receiving, self.sending):
            end.setblocking(False)
        self.task = make_task(self.loop, self)
        self.thread = Thread(target=self._run, name="calls", daemon=True)

    def start(self):
        """Start the task, and the thread that runs the loop."""
        self.loop.watch(self.receiving.fileno(), EPOLLIN, self._read_messages)
        self.task.start()
        self.thread.start()

    def close(self):
        """Stop the loop, whose thread closes its sockets, and wait for the thread."""
        if self.thread.is_alive():
            self.tell(None)
            self.thread.join()
        self.sending.close()

    def tell(self, message):
        """Queue a message for the task; may be called from any thread."""
        self.inbox.append(message)
        try:
            self.sending.send(b"\0")
        except BlockingIOError:
            # The loop has wake-ups pending, and then reads this message too.
            return
        except OSError as error:
            logger.info(
                "calls: %s was sent after the loop had stopped: %s",
                type(message).__name__,
                error,
            )

    def count_in_flight(self):
        """Return the number of requests that are not answered in full yet."""
        future = ThreadingFuture()
        self.tell(CountInFlight(future))
        return future.get(timeout=REPLY_TIMEOUT_S)

    def _run(self):
        self.loop.run()
        self.task.close()
        self.loop.unwatch(self.receiving.fileno())
        self.receiving.close()
        self.loop.close()

    def _read_messages(self, events):
        self.receiving.recv(WAKEUP_READ_BYTES)
        while self.inbox:
            message = self.inbox.popleft()
            if message is None:
                self.loop.stop()
                return
            self.loop.post(self.task, message)


def _log_unexpected_error(error):
    logger.error("calls: unexpected error", exc_info=error)
