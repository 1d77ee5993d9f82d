"""What a node learns of the upstream on its host, and what it publishes of it."""

from cyclamentally.gate_messages import UpstreamEnded
from cyclamentally.publication import Publication
from cyclamentally_calls.call_events import UpstreamChanged
from cyclamentally_calls.loop import wall_time_ms


class UpstreamMonitor:
    """Passes reports of the upstream to its gate; owned by the gate task.

    Parameters
    ----------
    gate : Gate
        Admission decisions.
    client : UpstreamClient
        Sends liveness checks.
    store : Task
        Receiver of `UpstreamChanged`.
    carry_out : callable
        Carries out the effects of the gate.
    """

    __slots__ = ("carry_out", "client", "gate", "loop", "publication", "store")

    def __init__(self, gate, client, store, carry_out):
        self.gate = gate
        self.client = client
        self.loop = client.loop
        self.store = store
        self.carry_out = carry_out
        self.publication = Publication()

    def learn_upstream(self, table):
        """Check the liveness of the upstream, to know it before its heartbeat.

        Parameters
        ----------
        table : RouteTable
            Names the path of the check.
        """
        rule = table.services.get(self.client.local_upstream.service)
        if rule is not None:
            self.client.check_liveness(rule.health_path, self._handle_liveness)

    def handle_report(self, report):
        """Handle a heartbeat or the end of an upstream."""
        before = self.gate.heartbeat
        now = self.loop.clock()
        if isinstance(report, UpstreamEnded):
            wall_ms = wall_time_ms()
            self.carry_out(self.gate.on_upstream_ended(report.upstream, wall_ms, now))
        else:
            self.carry_out(self.gate.on_heartbeat(report, now))
        known = self.gate.heartbeat
        if before is not None and before.upstream != known.upstream:
            self.client.pool.close_idle(before.address)
        self._publish()

    def mark_lost(self, event):
        """Close the gate of an upstream that is ``silent`` or ``unreachable``."""
        self.carry_out(self.gate.on_upstream_lost(event))
        self._publish()

    def check_silence(self):
        """Close the gate of an upstream that has sent no heartbeat for too long."""
        silence_s = self.loop.clock() - self.gate.last_heartbeat_at
        if self.client.local_upstream.is_silent_after(silence_s):
            self.mark_lost("silent")

    def withdraw(self):
        """Publish the upstream as leaving, since its node stops."""
        self.publication.withdraw()
        self._publish()

    def _handle_liveness(self, heartbeat):
        self.carry_out(self.gate.on_liveness_check(heartbeat, self.loop.clock()))
        self._publish()

    def _publish(self):
        """Publish the entry of the upstream if it has changed."""
        entry = self.publication.update(self.gate)
        if entry is not None:
            self.loop.post(self.store, UpstreamChanged(entry))
