"""The event loop that all tasks of the data plane share."""

from abc import ABC, abstractmethod
from collections import deque
from heapq import heappop, heappush
from select import EPOLLERR, EPOLLHUP, epoll
from time import CLOCK_BOOTTIME, clock_gettime

# Upper bound of one wait, in seconds; timers and sockets end it earlier.
LONGEST_WAIT_S = 5.0
BROKEN = EPOLLERR | EPOLLHUP


def boot_time():
    """Return the seconds since boot, with the time of a suspended machine."""
    return clock_gettime(CLOCK_BOOTTIME)


class Task(ABC):
    """An owner of sockets and state that others reach by messages only."""

    __slots__ = ()

    @abstractmethod
    def start(self):
        """Open the sockets and timers of the task."""

    @abstractmethod
    def receive(self, message):
        """Handle one message of another task."""

    @abstractmethod
    def close(self):
        """Close the sockets and timers of the task."""


class Timer:
    """A call that is due at a time; `cancel` forgets it."""

    __slots__ = ("callback", "order", "when")

    def __init__(self, when, order, callback):
        self.when = when
        self.order = order
        self.callback = callback

    def __lt__(self, other):
        return (self.when, self.order) < (other.when, other.order)

    def cancel(self):
        """Forget the call."""
        self.callback = None


class Loop:
    """Wait for sockets, timers and messages in one thread.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = (
        "clock",
        "handlers",
        "inbox",
        "is_running",
        "order",
        "poller",
        "timers",
    )

    def __init__(self, clock=boot_time):
        self.clock = clock
        self.poller = epoll()
        self.handlers = {}
        self.timers = []
        self.inbox = deque()
        self.order = 0
        self.is_running = False

    def watch(self, descriptor, events, handler):
        """Call a handler with the events of a descriptor."""
        self.handlers[descriptor] = handler
        self.poller.register(descriptor, events)

    def change(self, descriptor, events):
        """Replace the events waited for."""
        self.poller.modify(descriptor, events)

    def forget(self, descriptor):
        """Stop waiting for a descriptor that is still open."""
        if self.handlers.pop(descriptor, None) is not None:
            self.poller.unregister(descriptor)

    def call_at(self, when, callback):
        """Call a function at a time in seconds; returns the `Timer`."""
        self.order += 1
        timer = Timer(when, self.order, callback)
        heappush(self.timers, timer)
        return timer

    def call_after(self, delay, callback):
        """Call a function after a delay in seconds; returns the `Timer`."""
        return self.call_at(self.clock() + delay, callback)

    def post(self, task, message):
        """Hand a message to a task; it is handled soon, in order."""
        self.inbox.append((task, message))

    def run(self):
        """Handle events until `stop`."""
        self.is_running = True
        while self.is_running:
            self.run_once(LONGEST_WAIT_S)

    def run_once(self, longest):
        """Wait for events, at most some seconds, and handle them."""
        self._deliver()
        for descriptor, events in self.poller.poll(self._wait(longest)):
            handler = self.handlers.get(descriptor)
            if handler is not None:
                handler(events)
                self._deliver()
        self._run_timers()
        self._deliver()

    def stop(self):
        """End `run` after the present round."""
        self.is_running = False

    def close(self):
        """Release the poller."""
        self.poller.close()

    def _wait(self, longest):
        while self.timers and self.timers[0].callback is None:
            heappop(self.timers)
        if not self.timers:
            return longest
        return min(longest, max(0.0, self.timers[0].when - self.clock()))

    def _run_timers(self):
        now = self.clock()
        while self.timers and self.timers[0].when <= now:
            callback = heappop(self.timers).callback
            if callback is not None:
                callback()
                self._deliver()

    def _deliver(self):
        while self.inbox:
            task, message = self.inbox.popleft()
            task.receive(message)
