"""Task that owns the metrics."""

from aioprometheus import Counter, Registry, render
from pykka import ThreadingActor

from cyclamentally_node.task_messages import RecordCounts, RenderMetrics

PREFIX = "cyclamentally_"
LABELS = {
    "requests_refused_total": "reason",
    "retries_total": "reason",
    "retries_refused_total": "reason",
    "claims_refused_total": "reason",
    "claim_results_refused_total": "reason",
    "messages_refused_total": "reason",
    "transfers_refused_total": "reason",
    "versions_refused_total": "reason",
    "peer_bytes_sent_total": "regions",
    "peer_bytes_received_total": "regions",
    "requests_answered_total": "class",
}
DEFAULT_LABEL = "state"


class Meters(ThreadingActor):
    """Collects the counts of all tasks and renders them as metrics."""

    use_daemon_thread = True

    def __init__(self):
        super().__init__()
        self.registry = Registry()
        self.counters = {}

    def on_receive(self, message):
        """Handle `RecordCounts` and `RenderMetrics`."""
        if isinstance(message, RecordCounts):
            for count in message.counts:
                self._add(count)
            return None
        if isinstance(message, RenderMetrics):
            return render(self.registry, message.accepts)
        return None

    def _add(self, count):
        counter = self.counters.get(count.name)
        if counter is None:
            name = PREFIX + count.name
            counter = Counter(name, f"Count of {count.name}.", registry=self.registry)
            self.counters[count.name] = counter
        labels = {}
        if count.label:
            labels[LABELS.get(count.name, DEFAULT_LABEL)] = str(count.label)
        if count.message:
            labels["message"] = count.message
        counter.add(labels, count.amount)
