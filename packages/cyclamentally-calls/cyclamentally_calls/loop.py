"""The event loop that runs all tasks of the data plane in one thread."""

from abc import ABC, abstractmethod
from collections import deque
from contextlib import suppress
from heapq import heappop, heappush
from select import EPOLLERR, EPOLLHUP, epoll
from time import CLOCK_BOOTTIME, clock_gettime, time

MS_PER_S = 1_000
# Upper bound of one poll; timers and descriptors end it earlier.
MAX_POLL_S = 5.0
ERROR_EVENTS = EPOLLERR | EPOLLHUP


def boot_time():
    """Return the seconds since boot, including the time of suspension."""
    return clock_gettime(CLOCK_BOOTTIME)


def wall_time_ms():
    """Return the time of day in Unix milliseconds; it may jump."""
    return int(time() * MS_PER_S)


class Task(ABC):
    """Owner of sockets and state; other tasks communicate with it by messages."""

    __slots__ = ()

    @abstractmethod
    def start(self):
        """Open the sockets and timers of the task."""

    @abstractmethod
    def receive(self, message):
        """Handle one message from another task."""

    @abstractmethod
    def close(self):
        """Close the sockets and timers of the task."""


class Query(ABC):
    """A message whose sender waits for a reply."""

    __slots__ = ()

    @abstractmethod
    def fail(self, loop):
        """Reply in place of a task that has failed to handle the message."""


class Timer:
    """A callback scheduled for a time.

    Parameters
    ----------
    when : float
        Time in seconds.
    order : int
        Position among timers with the same time.
    callback : callable or None
        Function to call; None once cancelled.
    """

    __slots__ = ("callback", "order", "when")

    def __init__(self, when, order, callback):
        self.when = when
        self.order = order
        self.callback = callback

    def __lt__(self, other):
        return (self.when, self.order) < (other.when, other.order)

    def cancel(self):
        """Cancel the callback."""
        self.callback = None


class Loop:
    """Dispatch socket events, timers and messages in one thread.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    on_error : callable, optional
        Takes an unexpected exception of a handler, callback or task, and fields for
        the log, after which the loop goes on. Without it, the exception is raised.
    """

    __slots__ = (
        "clock",
        "failure_handlers",
        "handlers",
        "inbox",
        "is_running",
        "on_error",
        "order",
        "poller",
        "timers",
    )

    def __init__(self, clock=boot_time, on_error=None):
        self.clock = clock
        self.on_error = on_error
        self.poller = epoll()
        self.handlers = {}
        self.failure_handlers = {}
        self.timers = []
        self.inbox = deque()
        self.order = 0
        self.is_running = False

    def watch(self, descriptor, events, handler, on_failure=None):
        """Register a handler for the epoll events of a descriptor.

        Parameters
        ----------
        descriptor : int
            File descriptor.
        events : int
            Mask of epoll events.
        handler : callable
            Takes the events that have occurred.
        on_failure : callable, optional
            Called after an unexpected exception of the handler; gives the
            descriptor up, whose unread input would run the handler again.
        """
        self.handlers[descriptor] = handler
        self.failure_handlers[descriptor] = on_failure
        self.poller.register(descriptor, events)

    def modify(self, descriptor, events):
        """Change the epoll events of a registered descriptor."""
        self.poller.modify(descriptor, events)

    def unwatch(self, descriptor):
        """Unregister a descriptor; must precede closing it."""
        self.failure_handlers.pop(descriptor, None)
        if self.handlers.pop(descriptor, None) is not None:
            self.poller.unregister(descriptor)

    def call_at(self, when, callback):
        """Schedule a callback at a time in seconds; returns its `Timer`."""
        self.order += 1
        timer = Timer(when, self.order, callback)
        heappush(self.timers, timer)
        return timer

    def call_after(self, delay, callback):
        """Schedule a callback after a delay in seconds; returns its `Timer`."""
        return self.call_at(self.clock() + delay, callback)

    def post(self, task, message):
        """Queue a message for a task; messages are delivered in order."""
        self.inbox.append((task, message))

    def attempt(self, function, *arguments):
        """Call a function; returns False if it raised an unexpected exception.

        An error in one request must not end the requests of all others.
        """
        try:
            function(*arguments)
        except Exception as error:
            self.report(error)
            return False
        return True

    def report(self, error, **fields):
        """Report an unexpected exception, which is being handled, to `on_error`.

        Parameters
        ----------
        error : Exception
            The exception; raised again if there is no `on_error`.
        **fields : str
            Fields for the log, for example the ID of a request.
        """
        if self.on_error is None:
            raise error
        # The log may be what has failed.
        with suppress(Exception):
            self.on_error(error, **fields)

    def run(self):
        """Dispatch events until `stop` is called."""
        self.is_running = True
        while self.is_running:
            self.run_once(MAX_POLL_S)

    def run_once(self, timeout_s):
        """Wait for events, at most ``timeout_s`` seconds, and dispatch them."""
        self._deliver()
        for descriptor, events in self.poller.poll(self._poll_timeout(timeout_s)):
            handler = self.handlers.get(descriptor)
            if handler is not None:
                if not self.attempt(handler, events):
                    self.attempt(self.failure_handlers.get(descriptor) or _ignore)
                self._deliver()
        self._run_timers()
        self._deliver()

    def stop(self):
        """Make `run` return after the current iteration."""
        self.is_running = False

    def close(self):
        """Close the epoll descriptor."""
        self.poller.close()

    def _poll_timeout(self, timeout_s):
        while self.timers and self.timers[0].callback is None:
            heappop(self.timers)
        if not self.timers:
            return timeout_s
        return min(timeout_s, max(0.0, self.timers[0].when - self.clock()))

    def _run_timers(self):
        now = self.clock()
        while self.timers and self.timers[0].when <= now:
            callback = heappop(self.timers).callback
            if callback is not None:
                self.attempt(callback)
                self._deliver()

    def _deliver(self):
        while self.inbox:
            task, message = self.inbox.popleft()
            is_handled = self.attempt(task.receive, message)
            if not is_handled and isinstance(message, Query):
                self.attempt(message.fail, self)


def _ignore():
    """Do nothing: the descriptor is not given up."""
