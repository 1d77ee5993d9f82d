"""The task that tells other tasks that time has passed."""

from threading import Event, Thread

from cyclamentally_node.events import Tick


class Ticker:
    """Send `Tick` to tasks at a fixed period.

    Parameters
    ----------
    period : float
        Time between ticks in seconds.
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
        """Begin to tick."""
        self.thread.start()

    def close(self):
        """End the task."""
        self.stopped.set()
        self.thread.join()

    def _run(self):
        while not self.stopped.wait(self.period):
            for task in self.tasks:
                task.tell(Tick())
