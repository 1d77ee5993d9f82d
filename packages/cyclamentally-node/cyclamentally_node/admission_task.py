"""The task that owns slots, queues and the state of upstreams."""

from absl.logging import get_absl_logger
from pykka import ThreadingActor

from cyclamentally.admission import Denied, Granted
from cyclamentally.effects import Count, StateChanged
from cyclamentally.errors import Kind
from cyclamentally_node.events import (
    Abandon,
    Admit,
    Counted,
    CountInFlight,
    Finish,
    SnapshotReplaced,
    SuspectsReplaced,
    Tick,
)

logger = get_absl_logger()


class AdmissionTask(ThreadingActor):
    """Feed the admission decisions and answer the waiting requests.

    Parameters
    ----------
    admission : Admission
        Decisions, owned by this task.
    clock : callable
        Returns the time in seconds.
    meters : pykka.ActorRef
        Receiver of the counts.
    """

    use_daemon_thread = True

    def __init__(self, admission, clock, meters):
        super().__init__()
        self.admission = admission
        self.clock = clock
        self.meters = meters
        self.futures = {}
        self.counts = []
        self.handlers = {
            Admit: self._admit,
            Finish: self._finish,
            Abandon: self._abandon,
            SnapshotReplaced: self._replace,
            CountInFlight: self._count_in_flight,
            SuspectsReplaced: self._ignore,
            Tick: self._tick,
        }

    def on_receive(self, message):
        """Handle the messages named in the table of handlers."""
        return self.handlers[type(message)](message)

    def _admit(self, message):
        self.futures[message.call.number] = message.future
        self._carry_out(self.admission.request(message.call, self.clock()))

    def _finish(self, message):
        effects = self.admission.finish(message.number, message.outcome, self.clock())
        self._carry_out([*message.counts, *effects])

    def _abandon(self, message):
        """Forget a request whose thread no longer waits."""
        self.futures.pop(message.number, None)
        effects = self.admission.cancel(message.number)
        effects += self.admission.finish(message.number, Kind.CANCELLED, self.clock())
        self._carry_out(effects)

    def _replace(self, message):
        self._carry_out(self.admission.update(message.snapshot, self.clock()))

    def _count_in_flight(self, message):
        return len(self.admission.leases) + len(self.futures)

    def _ignore(self, message):
        """Suspect requests are refused by the front end."""

    def _tick(self, message):
        self._carry_out(self.admission.tick(self.clock()))
        if self.counts:
            self.meters.tell(Counted(self.counts))
            self.counts = []

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, Granted | Denied):
                self._answer(effect)
            elif isinstance(effect, Count):
                self.counts.append(effect)
            elif isinstance(effect, StateChanged):
                logger.info("%s: %s: %s", effect.subject, effect.state, effect.detail)

    def _answer(self, effect):
        future = self.futures.pop(effect.number, None)
        if future is not None:
            future.set(effect)
