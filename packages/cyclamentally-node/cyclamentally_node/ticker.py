"""Periodic ticks for other tasks."""

from threading import Event, Thread

from cyclamentally_node.task_messages import Tick


class Ticker:
    """Sends `Tick` to tasks at a fixed interval.

    Parameters
    ----------
    period : float
        Interval in seconds.
    tasks : list of pykka.ActorRef
        Receivers.
    """

    __slots__ = ("period", "stopped", "tasks", "thread")

    def __init__(self, period, tasks):
        self.period = period
        self.tasks = tasks
        self.stopped = Event()
        self.thread = Thread(target=self._run, name="ticker", daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()

    def close(self):
        """Stop the thread and wait for it."""
        self.stopped.set()
        self.thread.join()

    def _run(self):
        while not self.stopped.wait(self.period):
            for task in self.tasks:
                task.tell(Tick())
